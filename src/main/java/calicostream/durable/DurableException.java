// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.errors.ErrorDetails;
import calicostream.errors.OperationalError;
import calicostream.errors.OperatorDocumentation;
import java.io.IOException;

/**
 * Every way in which a disk fails, lies or belongs to somebody else. Each has a code that never
 * changes, the facts as they were found, and what an operator can do; {@code
 * docs/operate/durable.md} has a row for each code. It is an {@link IOException}, so that it passes
 * through stores that know only that.
 */
@OperatorDocumentation(
        value = "durable.md",
        prefixes = {"disk-", "file-", "folder-", "format-", "log-", "snapshot-"})
public abstract sealed class DurableException extends IOException implements OperationalError {

    private static final long serialVersionUID = 1;

    private final ErrorDetails details;

    private DurableException(String code, String facts, String remedy, Throwable cause) {
        this(new ErrorDetails(code, facts, remedy), cause);
    }

    private DurableException(ErrorDetails details, Throwable cause) {
        super(details.messageWithRemedy(), cause);
        this.details = details;
    }

    @Override
    public ErrorDetails details() {
        return details;
    }

    /** What the log is in once a call has thrown this. */
    LogStatus.State state() {
        return LogStatus.State.FAILED;
    }

    /** No room, or no quota, for what was to be written. */
    public static final class DiskFull extends DurableException {
        private static final long serialVersionUID = 1;
        public static final String CODE = "disk-full";

        public DiskFull(String facts, Throwable cause) {
            super(
                    CODE,
                    facts,
                    "free room on this device, then reopen the log (a restart does); delete aside-"
                            + " files first",
                    cause);
        }

        @Override
        LogStatus.State state() {
            return LogStatus.State.FULL;
        }
    }

    /** The folder or the file system takes no writes. */
    public static final class ReadOnlyFileSystem extends DurableException {
        private static final long serialVersionUID = 1;
        public static final String CODE = "disk-read-only";

        public ReadOnlyFileSystem(String facts, Throwable cause) {
            super(
                    CODE,
                    facts,
                    "see why the system mounted it so (its log tells), check the device, mount it"
                            + " for writing, then reopen the log",
                    cause);
        }

        @Override
        LogStatus.State state() {
            return LogStatus.State.READ_ONLY;
        }
    }

    /**
     * A sync failed: what was written since the one before may be gone although it can still be
     * read.
     */
    public static final class SyncFailed extends DurableException {
        private static final long serialVersionUID = 1;
        public static final String CODE = "disk-sync-failed";

        public SyncFailed(String facts, Throwable cause) {
            super(
                    CODE,
                    facts,
                    "check the device; reopen the log: what was not promised yet is written anew",
                    cause);
        }
    }

    /**
     * A sync takes or took longer than the bound. Not thrown: it is the trouble of a {@link
     * LogStatus} in SLOW.
     */
    public static final class SlowSync extends DurableException {
        private static final long serialVersionUID = 1;
        public static final String CODE = "disk-slow";

        public SlowSync(String facts) {
            super(
                    CODE,
                    facts,
                    "look for what else uses the device; move the folder to another one if it"
                            + " stays",
                    null);
        }
    }

    /** Any other failure of a read or a write. */
    public static final class DiskFailed extends DurableException {
        private static final long serialVersionUID = 1;
        public static final String CODE = "disk-failed";

        public DiskFailed(String facts, Throwable cause) {
            super(
                    CODE,
                    facts,
                    "check the device and the folder's owner and rights, then reopen the log",
                    cause);
        }
    }

    /** A file that is needed is not there. */
    public static final class FileMissing extends DurableException {
        private static final long serialVersionUID = 1;
        public static final String CODE = "file-missing";

        public FileMissing(String facts) {
            super(
                    CODE,
                    facts,
                    "see who deletes files in this folder; put the file back, or start over as a"
                            + " learner",
                    null);
        }
    }

    /** Another process has the folder. */
    public static final class DirectoryInUse extends DurableException {
        private static final long serialVersionUID = 1;
        public static final String CODE = "folder-in-use";

        public DirectoryInUse(String facts) {
            super(
                    CODE,
                    facts,
                    "two processes were given one folder: end the one that is not wanted, or give"
                            + " it its own",
                    null);
        }
    }

    /** The folder is another member's, or another cluster's. */
    public static final class ForeignDirectory extends DurableException {
        private static final long serialVersionUID = 1;
        public static final String CODE = "folder-foreign";

        public ForeignDirectory(String facts) {
            super(
                    CODE,
                    facts,
                    "put the folders back in their places, or start this member with an empty one"
                            + " as a learner",
                    null);
        }
    }

    /** Written by a later version of the program, or no file of ours. */
    public static final class UnknownFormat extends DurableException {
        private static final long serialVersionUID = 1;
        public static final String CODE = "format-unknown";

        public UnknownFormat(String facts) {
            super(
                    CODE,
                    facts,
                    "start the version of the program that wrote it, or a later one",
                    null);
        }
    }

    /** A record that was promised can be found and not be read. */
    public static final class CorruptRecord extends DurableException {
        private static final long serialVersionUID = 1;
        public static final String CODE = "log-rotten";

        public CorruptRecord(String facts) {
            super(
                    CODE,
                    facts,
                    "the device loses bits: replace it; then start over, and have the group admit"
                            + " this member anew",
                    null);
        }
    }

    /** Records that were promised are not there, and later ones are. */
    public static final class MissingRecords extends DurableException {
        private static final long serialVersionUID = 1;
        public static final String CODE = "log-hole";

        public MissingRecords(String facts) {
            super(
                    CODE,
                    facts,
                    "put the missing file back if it was moved; otherwise start over, and have the"
                            + " group admit this member anew",
                    null);
        }
    }

    /** No generation of the snapshot that the log rests on can be read. */
    public static final class CorruptSnapshot extends DurableException {
        private static final long serialVersionUID = 1;
        public static final String CODE = "snapshot-rotten";

        public CorruptSnapshot(String facts) {
            super(
                    CODE,
                    facts,
                    "start over, and have the group admit this member anew: it is sent a snapshot",
                    null);
        }
    }

    /** An earlier call failed, and this log takes nothing until it is opened anew. */
    public static final class LogFailed extends DurableException {
        private static final long serialVersionUID = 1;
        public static final String CODE = "log-failed";

        public LogFailed(DurableException first) {
            super(CODE, "since " + first.code() + ": " + first.facts(), first.remedy(), first);
        }
    }

    /** The log was closed. */
    public static final class LogClosed extends DurableException {
        private static final long serialVersionUID = 1;
        public static final String CODE = "log-closed";

        public LogClosed(String facts) {
            super(CODE, facts, "none is needed while the program ends; else report it", null);
        }
    }
}

// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.errors.ErrorDetails;
import calicostream.errors.OperationalError;
import calicostream.errors.OperatorDocumentation;
import java.io.IOException;

/**
 * Every way in which a disk fails, loses data or belongs to another member. Each type has a code
 * that never changes, the facts that were found, and what an operator can do; {@code
 * docs/operate/durable.md} has a row for each code. It is an {@link IOException}, so that it passes
 * through callers that know only that. Immutable.
 */
@OperatorDocumentation(
        value = "durable.md",
        prefixes = {"disk-", "file-", "folder-", "format-", "log-", "snapshot-"})
public abstract sealed class DurableException extends IOException implements OperationalError {

    private static final long serialVersionUID = 1L;

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

    /** The state of a log after a call has thrown this. */
    LogStatus.State resultingState() {
        return LogStatus.State.FAILED;
    }

    /** There is no space, or no quota, for what was to be written. */
    public static final class DiskFull extends DurableException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "disk-full";

        /**
         * @param facts what was to be written, and where
         * @param cause the failure of the system; may be null
         */
        public DiskFull(String facts, Throwable cause) {
            super(
                    CODE,
                    facts,
                    "free room on this device, then reopen the log (a restart does); delete aside-"
                            + " files first",
                    cause);
        }

        @Override
        LogStatus.State resultingState() {
            return LogStatus.State.FULL;
        }
    }

    /** The directory or its file system accepts no writes. */
    public static final class ReadOnlyFileSystem extends DurableException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "disk-read-only";

        /**
         * @param facts what was to be written, and where
         * @param cause the failure of the system; may be null
         */
        public ReadOnlyFileSystem(String facts, Throwable cause) {
            super(
                    CODE,
                    facts,
                    "see why the system mounted it so (its log tells), check the device, mount it"
                            + " for writing, then reopen the log",
                    cause);
        }

        @Override
        LogStatus.State resultingState() {
            return LogStatus.State.READ_ONLY;
        }
    }

    /**
     * A sync failed: what was written since the one before may be lost, although it can still be
     * read.
     */
    public static final class SyncFailed extends DurableException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "disk-sync-failed";

        /**
         * @param facts what was to be synced
         * @param cause the failure of the system; may be null
         */
        public SyncFailed(String facts, Throwable cause) {
            super(
                    CODE,
                    facts,
                    "check the device; reopen the log: what was not promised yet is written anew",
                    cause);
        }
    }

    /**
     * A sync takes or took longer than the bound. It is never thrown: it is the fault of a {@link
     * LogStatus} in SLOW.
     */
    public static final class SlowSync extends DurableException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "disk-slow";

        /**
         * @param facts how long the sync took, and the bound
         */
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
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "disk-failed";

        /**
         * @param facts the call that failed, and where
         * @param cause the failure of the system; may be null
         */
        public DiskFailed(String facts, Throwable cause) {
            super(
                    CODE,
                    facts,
                    "check the device and the folder's owner and rights, then reopen the log",
                    cause);
        }
    }

    /** A file that is needed does not exist. */
    public static final class FileMissing extends DurableException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "file-missing";

        /**
         * @param facts the file
         */
        public FileMissing(String facts) {
            super(
                    CODE,
                    facts,
                    "see who deletes files in this folder; put the file back, or start over as a"
                            + " learner",
                    null);
        }
    }

    /** Another process, or another log of this process, uses the directory. */
    public static final class DirectoryInUse extends DurableException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "folder-in-use";

        /**
         * @param facts the directory and its user
         */
        public DirectoryInUse(String facts) {
            super(
                    CODE,
                    facts,
                    "two processes were given one folder: end the one that is not wanted, or give"
                            + " it its own",
                    null);
        }
    }

    /** The directory belongs to another member or another cluster. */
    public static final class ForeignDirectory extends DurableException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "folder-foreign";

        /**
         * @param facts the owner that was found and the one that was expected
         */
        public ForeignDirectory(String facts) {
            super(
                    CODE,
                    facts,
                    "put the folders back in their places, or start this member with an empty one"
                            + " as a learner",
                    null);
        }
    }

    /** A later version of the program wrote the file, or another program did. */
    public static final class UnknownFormat extends DurableException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "format-unknown";

        /**
         * @param facts the place in the file and what is unknown
         */
        public UnknownFormat(String facts) {
            super(
                    CODE,
                    facts,
                    "start the version of the program that wrote it, or a later one",
                    null);
        }
    }

    /** A record that was synced exists and can't be read. */
    public static final class CorruptRecord extends DurableException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "log-rotten";

        /**
         * @param facts the place in the file
         */
        public CorruptRecord(String facts) {
            super(
                    CODE,
                    facts,
                    "the device loses bits: replace it; then start over, and have the group admit"
                            + " this member anew",
                    null);
        }
    }

    /** Records that were synced are missing, and later ones exist. */
    public static final class MissingRecords extends DurableException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "log-hole";

        /**
         * @param facts the place of the gap
         */
        public MissingRecords(String facts) {
            super(
                    CODE,
                    facts,
                    "put the missing file back if it was moved; otherwise start over, and have the"
                            + " group admit this member anew",
                    null);
        }
    }

    /** No snapshot that the log rests on can be read. */
    public static final class CorruptSnapshot extends DurableException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "snapshot-rotten";

        /**
         * @param facts the snapshots that were tried
         */
        public CorruptSnapshot(String facts) {
            super(
                    CODE,
                    facts,
                    "start over, and have the group admit this member anew: it is sent a snapshot",
                    null);
        }
    }

    /** An earlier call failed, and the log accepts nothing until it is opened again. */
    public static final class LogFailed extends DurableException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "log-failed";

        /**
         * @param first the failure of the earlier call
         */
        public LogFailed(DurableException first) {
            super(CODE, "since " + first.code() + ": " + first.facts(), first.remedy(), first);
        }
    }

    /** The log was closed. */
    public static final class LogClosed extends DurableException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "log-closed";

        /**
         * @param facts the log
         */
        public LogClosed(String facts) {
            super(CODE, facts, "none is needed while the program ends; else report it", null);
        }
    }
}

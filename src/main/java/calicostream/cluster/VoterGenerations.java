// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The generations of each member that were added to the voters and removed from them. A generation
 * that was removed, or is older than one that was added, is retired and never added again. As part
 * of the replicated state this holds for every leader, also after a snapshot. A leader records a
 * removal before it removes the voter and an addition before it adds it, so a leader that stops in
 * between leaves the stricter record. Pure; used by one thread.
 */
final class VoterGenerations {
    private static final int NONE = -1;

    /** The encoded size of a member with its generation. */
    private static final int ENTRY_BYTES = 2 * Integer.BYTES;

    /** The greatest generation that was added, by member. */
    private final SortedMap<Integer, Integer> added = new TreeMap<>();

    /** The greatest generation that was removed, by member. */
    private final SortedMap<Integer, Integer> removed = new TreeMap<>();

    boolean mayAdd(int member, int generation) {
        return generation > removed.getOrDefault(member, NONE)
                && generation >= added.getOrDefault(member, 0);
    }

    /** The least generation that may be added as a new voter. */
    int next(int member) {
        return 1 + Math.max(removed.getOrDefault(member, NONE), added.getOrDefault(member, NONE));
    }

    /** Records an addition; a repetition is accepted, since its sender may have got no reply. */
    CommandOutcome add(long index, ReplicatedEntry.AddVoter entry) {
        if (!mayAdd(entry.member(), entry.generation())) {
            return CommandOutcome.failed(
                    index,
                    ClusterException.GenerationRetired.CODE,
                    entry.member(),
                    entry.generation(),
                    next(entry.member()));
        }
        added.put(entry.member(), entry.generation());
        return CommandOutcome.accepted(index);
    }

    CommandOutcome remove(long index, ReplicatedEntry.RemoveVoter entry) {
        removed.merge(entry.member(), entry.generation(), Math::max);
        return CommandOutcome.accepted(index);
    }

    void write(BinaryCodec.Writer out) {
        write(out, added);
        write(out, removed);
    }

    private static void write(BinaryCodec.Writer out, SortedMap<Integer, Integer> generations) {
        out.i32(generations.size());
        generations.forEach((member, generation) -> out.i32(member).i32(generation));
    }

    static VoterGenerations read(BinaryCodec.Reader in) {
        VoterGenerations generations = new VoterGenerations();
        read(in, generations.added);
        read(in, generations.removed);
        return generations;
    }

    private static void read(BinaryCodec.Reader in, SortedMap<Integer, Integer> generations) {
        for (int remaining = in.count(ENTRY_BYTES); remaining > 0; remaining--) {
            generations.put(in.i32(), in.i32());
        }
    }
}

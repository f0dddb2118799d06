// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Which generation of a member may be added to the voters: never one that was removed, nor one
 * older than another that was added. A part of the replicated state, so every leader refuses alike,
 * now and after any snapshot. A removal is noted before the voter is removed and an addition before
 * it is added, so a leader that stops in between leaves the stricter word. Pure, one thread.
 */
final class VoterGenerations {
    /** By member: the greatest that was added, and the greatest that was removed. */
    private final SortedMap<Integer, Integer> added = new TreeMap<>();

    private final SortedMap<Integer, Integer> removed = new TreeMap<>();

    boolean mayAdd(int member, int generation) {
        return generation > removed.getOrDefault(member, -1)
                && generation >= added.getOrDefault(member, 0);
    }

    /** The least that may be added as somebody new. */
    int next(int member) {
        return 1 + Math.max(removed.getOrDefault(member, -1), added.getOrDefault(member, -1));
    }

    /** The same again is accepted, as its sender may not have heard. */
    CommandOutcome add(long index, ReplicatedEntry.AddVoter entry) {
        if (!mayAdd(entry.member(), entry.generation())) {
            return CommandOutcome.failed(
                    index,
                    ClusterException.GenerationOver.CODE,
                    entry.member(),
                    entry.generation(),
                    next(entry.member()));
        }
        added.put(entry.member(), entry.generation());
        return new CommandOutcome(CommandOutcome.Kind.ACCEPTED, index, "", new byte[0]);
    }

    CommandOutcome remove(long index, ReplicatedEntry.RemoveVoter entry) {
        removed.merge(entry.member(), entry.generation(), Math::max);
        return new CommandOutcome(CommandOutcome.Kind.ACCEPTED, index, "", new byte[0]);
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
        VoterGenerations read = new VoterGenerations();
        read(in, read.added);
        read(in, read.removed);
        return read;
    }

    private static void read(BinaryCodec.Reader in, SortedMap<Integer, Integer> generations) {
        for (int left = in.count(8); left > 0; left--) {
            generations.put(in.i32(), in.i32());
        }
    }
}

// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import calicostream.rig.OperationHistory.Act;
import calicostream.rig.OperationHistory.Answer;
import calicostream.rig.OperationHistory.Answered;
import calicostream.rig.OperationHistory.Asked;
import calicostream.rig.OperationHistory.Dropped;
import calicostream.rig.OperationHistory.Ran;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Judges what was recorded; pure, and without any class of the program, so that both can't be wrong
 * in the same way.
 */
final class OperationHistoryChecker {
    private final OperationHistory.All all;

    OperationHistoryChecker(OperationHistory.All all) {
        this.all = all;
    }

    /**
     * Requests without an end: no answer, and the connection is not known to have ended with a
     * process that the rig ended.
     */
    List<String> lost() {
        Set<String> ended = new HashSet<>();
        all.answered().forEach(each -> ended.add(each.id()));
        all.dropped().stream().filter(Dropped::expected).forEach(each -> ended.add(each.id()));
        return all.asked().stream().map(Asked::id).filter(id -> !ended.contains(id)).toList();
    }

    /** Requests with a second answer, or an answer that nobody asked for. */
    List<String> answeredTwice() {
        Set<String> open = new HashSet<>();
        all.asked().forEach(each -> open.add(each.id()));
        return all.answered().stream().map(Answered::id).filter(id -> !open.remove(id)).toList();
    }

    /** Requests that engines ran more than once. */
    List<String> ranTwice() {
        Set<String> seen = new HashSet<>();
        return all.ran().stream().map(Ran::id).filter(id -> !seen.add(id)).toList();
    }

    /**
     * Of what these front ends were asked in the window: how many have this answer; null for those
     * that have no end yet.
     */
    long ended(Set<Integer> fronts, long from, long to, Answer how) {
        Map<String, Answer> ends = new HashMap<>();
        all.answered().forEach(each -> ends.put(each.id(), each.answer()));
        all.dropped().forEach(each -> ends.put(each.id(), Answer.FAILED));
        return all.asked().stream()
                .filter(
                        each ->
                                fronts.contains(each.front())
                                        && each.at() >= from
                                        && each.at() < to)
                .filter(each -> ends.get(each.id()) == how)
                .count();
    }

    /**
     * Share of what was asked in the window that was served, of these front ends; NaN if nothing
     * was asked.
     */
    double served(Set<Integer> fronts, long from, long to) {
        long asked =
                all.asked().stream()
                        .filter(
                                each ->
                                        fronts.contains(each.front())
                                                && each.at() >= from
                                                && each.at() < to)
                        .count();
        return (double) ended(fronts, from, to, Answer.SERVED) / asked;
    }

    /** Nanoseconds from asked to answered, rising. */
    List<Long> waits(Set<Integer> fronts, long from, long to) {
        Map<String, Long> asked = new HashMap<>();
        all.asked().stream()
                .filter(
                        each ->
                                fronts.contains(each.front())
                                        && each.at() >= from
                                        && each.at() < to)
                .forEach(each -> asked.put(each.id(), each.at()));
        return all.answered().stream()
                .filter(each -> asked.containsKey(each.id()))
                .map(each -> each.at() - asked.get(each.id()))
                .sorted()
                .toList();
    }

    /**
     * Acts that must not have been done: under a token lower than one that had acted on that lease,
     * under a token that another one had acted under, or the same act of the same actor again. In
     * the order in which the resource did them.
     */
    List<Act> doubleActs() {
        List<Act> out = new ArrayList<>();
        Map<String, Long> highest = new HashMap<>();
        Map<String, String> actors = new HashMap<>();
        Set<String> seen = new HashSet<>();
        for (Act each : acts()) {
            String under = each.lease() + " " + each.token();
            boolean old = each.token() < highest.getOrDefault(each.lease(), Long.MIN_VALUE);
            boolean shared = !actors.computeIfAbsent(under, key -> each.who()).equals(each.who());
            boolean again = !seen.add(under + " " + each.who() + " " + each.number());
            highest.merge(each.lease(), each.token(), Math::max);
            if (old || shared || again) {
                out.add(each);
            }
        }
        return out;
    }

    private List<Act> acts() {
        return all.acts().stream()
                .filter(Act::done)
                .sorted(Comparator.comparingLong(Act::at))
                .toList();
    }

    /**
     * For each of these ends of a holder: nanoseconds to the first act under a higher token than
     * all before it; none if there was none.
     */
    List<Long> handovers(String lease, List<Long> ends) {
        List<Long> out = new ArrayList<>();
        for (long end : ends) {
            long before =
                    acts().stream()
                            .filter(a -> a.lease().equals(lease) && a.at() <= end)
                            .mapToLong(Act::token)
                            .max()
                            .orElse(0);
            acts().stream()
                    .filter(a -> a.lease().equals(lease) && a.at() > end && a.token() > before)
                    .findFirst()
                    .ifPresent(next -> out.add(next.at() - end));
        }
        return out;
    }

    /** How often an engine began to run more at once than its cap. */
    long overCap(int cap) {
        return running().stream().filter(each -> each > cap).count();
    }

    /** The most that an engine ran at once. */
    int mostAtOnce() {
        return running().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /**
     * For each request that an engine began to run: how many it then ran. What ended at that moment
     * has ended.
     */
    private List<Integer> running() {
        Map<Integer, TreeMap<Long, int[]>> changes = new HashMap<>();
        for (Ran each : all.ran()) {
            TreeMap<Long, int[]> of =
                    changes.computeIfAbsent(each.engine(), key -> new TreeMap<>());
            of.computeIfAbsent(each.from(), key -> new int[2])[0]++;
            of.computeIfAbsent(each.to(), key -> new int[2])[1]++;
        }
        List<Integer> out = new ArrayList<>();
        for (TreeMap<Long, int[]> of : changes.values()) {
            int now = 0;
            for (int[] change : of.values()) {
                now -= change[1];
                for (int i = 0; i < change[0]; i++) {
                    out.add(++now);
                }
            }
        }
        return out;
    }

    /** The longest time in the window in which a front end that was asked served nobody. */
    long longestSilence(int front, long from, long to) {
        List<Long> served =
                new ArrayList<>(
                        all.answered().stream()
                                .filter(
                                        each ->
                                                each.front() == front
                                                        && each.answer() == Answer.SERVED
                                                        && each.at() >= from
                                                        && each.at() < to)
                                .map(Answered::at)
                                .toList());
        Collections.sort(served);
        long longest = 0;
        long last = from;
        for (long at : served) {
            longest = Math.max(longest, at - last);
            last = at;
        }
        return Math.max(longest, to - last);
    }

    /** The value that so great a share of the list, which rises, does not exceed. */
    static long percentile(List<Long> rising, double share) {
        return rising.isEmpty()
                ? 0
                : rising.get(
                        Math.min(rising.size() - 1, (int) Math.ceil(share * rising.size()) - 1));
    }
}

// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.ClusterException;
import calicostream.cluster.raft.Voter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A command of operators to the leader: add, remove or replace a voter, or transfer the leadership.
 * Its text is the end of the path that operators post to. Pure, immutable.
 */
sealed interface MembershipCommand {
    /** A voter as {@link Voter#toString} has it. */
    String VOTER = "\\d{1,7}\\.\\d{1,7}";

    /** The syntax of the commands, with a named group for each operand. */
    Pattern SYNTAX =
            Pattern.compile(
                    "voters/(?<voter>"
                            + VOTER
                            + ")/(?<change>add|remove)|voters/(?<old>"
                            + VOTER
                            + ")/replace/(?<new>"
                            + VOTER
                            + ")|lead/(?<leader>"
                            + VOTER
                            + ")");

    /** A removal must leave this many voters. */
    int MIN_VOTERS = 2;

    /** These are to be the voters. */
    record ChangeVoters(String text, List<Voter> wantedVoters) implements MembershipCommand {}

    /** The target is to lead. */
    record TransferLeadership(String text, Voter target) implements MembershipCommand {}

    /** The command as it was posted. */
    String text();

    /**
     * Parses and checks a command.
     *
     * @param status of the member that is asked
     * @return empty if the text is no command
     * @throws ClusterException.NotLeader if the member does not lead
     * @throws ClusterException.InvalidVoterChange if the command can't be carried out
     */
    static Optional<MembershipCommand> parse(String text, MemberStatus status) {
        Matcher matcher = SYNTAX.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        if (status.state() != MemberStatus.State.VOTER || !status.leadership().isSelf()) {
            throw new ClusterException.NotLeader(
                    status.self().member(),
                    status.leadership().leader(),
                    status.leadership().epoch());
        }
        if (matcher.group("leader") != null) {
            return Optional.of(transfer(text, parseVoter(matcher.group("leader")), status));
        }
        List<Voter> wanted = new ArrayList<>(status.replica().membership().voters());
        if (matcher.group("new") != null) {
            Voter old = parseVoter(matcher.group("old"));
            Voter replacement = parseVoter(matcher.group("new"));
            if (old.equals(replacement)) {
                throw new ClusterException.InvalidVoterChange(
                        text, "a voter is replaced by another one");
            }
            remove(text, old, wanted);
            add(text, replacement, wanted);
        } else if ("add".equals(matcher.group("change"))) {
            add(text, parseVoter(matcher.group("voter")), wanted);
        } else {
            remove(text, parseVoter(matcher.group("voter")), wanted);
        }
        if (wanted.size() < MIN_VOTERS) {
            throw new ClusterException.InvalidVoterChange(text, "too few voters would be left");
        }
        wanted.sort(Comparator.comparingInt(Voter::member));
        return Optional.of(new ChangeVoters(text, List.copyOf(wanted)));
    }

    private static void remove(String text, Voter voter, List<Voter> voters) {
        List<Voter> present = List.copyOf(voters);
        if (!voters.remove(voter)) {
            throw notAVoter(text, voter, present);
        }
    }

    private static void add(String text, Voter voter, List<Voter> voters) {
        if (voters.contains(voter)) {
            throw new ClusterException.InvalidVoterChange(text, voter + " is a voter already");
        }
        if (voters.stream().anyMatch(each -> each.member() == voter.member())) {
            throw new ClusterException.InvalidVoterChange(
                    text,
                    "member "
                            + voter.member()
                            + " is a voter under another generation; replace that one");
        }
        voters.add(voter);
    }

    private static MembershipCommand transfer(String text, Voter target, MemberStatus status) {
        List<Voter> voters = status.replica().membership().voters();
        if (!voters.contains(target)) {
            throw notAVoter(text, target, voters);
        }
        if (target.equals(status.self())) {
            throw new ClusterException.InvalidVoterChange(text, "it leads already");
        }
        return new TransferLeadership(text, target);
    }

    private static ClusterException notAVoter(String text, Voter voter, List<Voter> voters) {
        return new ClusterException.InvalidVoterChange(
                text, voter + " is no voter; voters are " + voters);
    }

    private static Voter parseVoter(String text) {
        int dot = text.indexOf('.');
        return new Voter(
                Integer.parseInt(text.substring(0, dot)),
                Integer.parseInt(text.substring(dot + 1)));
    }
}

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
 * What operators may ask the leader for: one more voter, one less, one in another's place, or that
 * another one leads. Pure and immutable.
 */
sealed interface MembershipCommand {
    Pattern WORDS =
            Pattern.compile(
                    "voters/(VOTER)/(add|remove)|voters/(VOTER)/replace/(VOTER)|lead/(VOTER)"
                            .replace("VOTER", "\\d{1,7}\\.\\d{1,7}"));

    /** These are to be the voters. */
    record ChangeVoters(String text, List<Voter> wantedVoters) implements MembershipCommand {}

    /** That one is to lead. */
    record TransferLeadership(String text, Voter target) implements MembershipCommand {}

    String text();

    /**
     * Empty where the words are none of ours; otherwise the wish or why it can't be begun, by a
     * member with these signs.
     */
    static Optional<MembershipCommand> parse(String words, MemberStatus signs) {
        Matcher said = WORDS.matcher(words);
        if (!said.matches()) {
            return Optional.empty();
        }
        if (signs.state() != MemberStatus.State.VOTER || !signs.isLeader()) {
            throw new ClusterException.NotLeader(
                    signs.self().member(), signs.leader(), signs.era());
        }
        if (said.group(5) != null) {
            return Optional.of(lead(words, voter(said.group(5)), signs));
        }
        List<Voter> wanted = new ArrayList<>(signs.voters());
        Voter one = voter(said.group(1) == null ? said.group(3) : said.group(1));
        Voter more =
                said.group(4) != null
                        ? voter(said.group(4))
                        : "add".equals(said.group(2)) ? one : null;
        if (said.group(4) != null && one.equals(more)) {
            throw new ClusterException.InvalidVoterChange(
                    words, "a voter is replaced by another one");
        }
        if (one != more && !wanted.remove(one)) {
            throw new ClusterException.InvalidVoterChange(
                    words, one + " is no voter; voters are " + signs.voters());
        }
        if (more != null && wanted.contains(more)) {
            throw new ClusterException.InvalidVoterChange(words, more + " is a voter already");
        }
        if (more != null && wanted.stream().anyMatch(each -> each.member() == more.member())) {
            throw new ClusterException.InvalidVoterChange(
                    words,
                    "member "
                            + more.member()
                            + " is a voter under another generation; "
                            + "replace that one");
        }
        if (more != null) {
            wanted.add(more);
        }
        if (wanted.size() < 2) {
            throw new ClusterException.InvalidVoterChange(words, "too few voters would be left");
        }
        wanted.sort(Comparator.comparingInt(Voter::member));
        return Optional.of(new ChangeVoters(words, List.copyOf(wanted)));
    }

    private static MembershipCommand lead(String words, Voter to, MemberStatus signs) {
        if (!signs.voters().contains(to)) {
            throw new ClusterException.InvalidVoterChange(
                    words, to + " is no voter; voters are " + signs.voters());
        }
        if (to.equals(signs.self())) {
            throw new ClusterException.InvalidVoterChange(words, "it leads already");
        }
        return new TransferLeadership(words, to);
    }

    private static Voter voter(String text) {
        int dot = text.indexOf('.');
        return new Voter(
                Integer.parseInt(text.substring(0, dot)),
                Integer.parseInt(text.substring(dot + 1)));
    }
}

// SPDX-License-Identifier: Apache-2.0
package calicostream.hotrestart;

import java.util.Map;
import java.util.Set;

/**
 * What one process of a server publishes to the others.
 *
 * @param processId a random number that tells the process from others; 0 for a release that does
 *     not share request ids
 * @param idReaders the process ids of those to which its request ids are known
 * @param generation start order of the process: a process that joins gets one more than the highest
 *     generation alive
 * @param listening whether it accepts new clients
 * @param eventSequence sequence number of the last discovery event it has applied
 * @param learnedRunTimes learned run times in microseconds, one a query class in the order of the
 *     settings, 0 where nothing is learned; empty until the process publishes them. Not copied.
 * @param overrides the operators' latest command for each engine, by engine id
 */
record PeerState(
        long processId,
        Set<Long> idReaders,
        long generation,
        boolean listening,
        long eventSequence,
        double[] learnedRunTimes,
        Map<String, EngineOverride> overrides) {}

// SPDX-License-Identifier: Apache-2.0
/**
 * Deployments drawn from what the protocol allows, each played in virtual time with the decision
 * module of every front end, under a check of the rules that knows nothing of the module, and
 * beside the plainest policy of least load. It owns a simple model of engines that run all they
 * hold at once: cores and disks are one bottleneck for all that runs, memory is granted whole at
 * the start of a run and, where it is short, waited for, cut or overcommitted; there are no ticks,
 * no streams and no messages between front ends. Read {@link
 * calicostream.deployments.DeploymentRun} first.
 */
package calicostream.deployments;

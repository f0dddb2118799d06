// SPDX-License-Identifier: Apache-2.0
package calicostream.grpc;

import calicostream.core.Gateway;
import calicostream.net.SelectorLoop;
import calicostream.routing.QueryClass;
import java.util.List;
import java.util.Map;

/**
 * What the calls of one {@link BalancingChannel} share.
 *
 * @param loop the event loop; it alone uses the gateway and the open calls
 * @param classNames names of the query classes, in the order of {@code classes}
 * @param openCalls accepted calls that have not ended, by request id
 */
record ChannelContext(
        SelectorLoop loop,
        Gateway gateway,
        List<String> classNames,
        List<QueryClass> classes,
        Map<String, BalancedCall<?, ?>> openCalls) {}

// SPDX-License-Identifier: Apache-2.0
package calicostream.adapter;

import calicostream.routing.QueryRouter;

/** A decoded event, ready to be passed to a router. */
interface RouterEvent {
    void applyTo(QueryRouter router);
}

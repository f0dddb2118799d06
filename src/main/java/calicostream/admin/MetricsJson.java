// SPDX-License-Identifier: Apache-2.0
package calicostream.admin;

import calicostream.core.Gateway;
import calicostream.core.RequestMetrics;
import calicostream.core.RequestOutcome;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.util.List;

/** Writes the metrics as JSON, under member names that operators' tools rely on. */
public final class MetricsJson {
    private MetricsJson() {}

    /**
     * The metrics as the text of a JSON object.
     *
     * @param classNames the names of the query classes, in the order of their numbers
     */
    public static String of(Gateway gateway, List<String> classNames) {
        RequestMetrics metrics = gateway.metrics();
        return Json.object()
                .add("ok", countByClass(metrics, RequestOutcome.SERVED, classNames))
                .add("shed", countByClass(metrics, RequestOutcome.REJECTED, classNames))
                .add("errors", countByClass(metrics, RequestOutcome.FAILED, classNames))
                .add("tries", metrics.attemptsWritten())
                .add("active", gateway.openRequests())
                .add("pool_size", gateway.listedEngines())
                .add("pool_ejected", gateway.excludedEngines())
                .toString();
    }

    private static JsonObject countByClass(
            RequestMetrics metrics, RequestOutcome outcome, List<String> classNames) {
        JsonObject counts = Json.object();
        for (int queryClass = 0; queryClass < classNames.size(); queryClass++) {
            counts.add(classNames.get(queryClass), metrics.requestsEnded(outcome, queryClass));
        }
        return counts;
    }
}

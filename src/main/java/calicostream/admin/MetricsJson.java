// SPDX-License-Identifier: Apache-2.0
package calicostream.admin;

import calicostream.core.Gateway;
import calicostream.core.RequestMetrics;
import calicostream.core.RequestOutcome;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.util.List;
import java.util.function.IntToLongFunction;

/** The figures under the names that the operators know them by. */
public final class MetricsJson {
    private MetricsJson() {}

    public static String of(Gateway gateway, List<String> classNames) {
        RequestMetrics figures = gateway.metrics();
        return Json.object()
                .add("ok", byClass(classNames, c -> figures.requestEnded(RequestOutcome.SERVED, c)))
                .add(
                        "shed",
                        byClass(classNames, c -> figures.requestEnded(RequestOutcome.REJECTED, c)))
                .add(
                        "errors",
                        byClass(classNames, c -> figures.requestEnded(RequestOutcome.FAILED, c)))
                .add("tries", figures.attemptsWritten())
                .add("active", gateway.openRequests())
                .add("pool_size", gateway.listedEngines())
                .add("pool_ejected", gateway.excludedEngines())
                .toString();
    }

    private static JsonObject byClass(List<String> classNames, IntToLongFunction count) {
        JsonObject counts = Json.object();
        for (int i = 0; i < classNames.size(); i++) {
            counts.add(classNames.get(i), count.applyAsLong(i));
        }
        return counts;
    }
}

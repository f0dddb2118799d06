// SPDX-License-Identifier: Apache-2.0
package calicostream.admin;

import calicostream.core.Figures;
import calicostream.core.Gateway;
import calicostream.core.Watcher.Ending;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.util.List;
import java.util.function.IntToLongFunction;

/** The figures under the names that the operators know them by. */
public final class FiguresJson {
    private FiguresJson() {}

    public static String of(Gateway gateway, List<String> classNames) {
        Figures figures = gateway.figures();
        return Json.object()
                .add("ok", byClass(classNames, c -> figures.ended(Ending.SERVED, c)))
                .add("shed", byClass(classNames, c -> figures.ended(Ending.REFUSED, c)))
                .add("errors", byClass(classNames, c -> figures.ended(Ending.FAILED, c)))
                .add("tries", figures.tries())
                .add("active", gateway.open())
                .add("pool_size", gateway.listed())
                .add("pool_ejected", gateway.avoided())
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

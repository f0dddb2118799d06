// SPDX-License-Identifier: Apache-2.0
package calicostream.grpc;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.LoadReport;
import io.grpc.Metadata;
import io.grpc.Status;

/** What gRPC's statuses, headers and trailers mean to the core. */
public final class GrpcStatuses {
    /** On a call: its class of query, by name. */
    public static final String CLASS_NAME = "calicostream-class";

    public static final Metadata.Key<String> CLASS = key(CLASS_NAME);

    /** On an attempt: the request's id, the same on each of its attempts. */
    public static final Metadata.Key<String> REQUEST = key("x-request-id");

    /** On an attempt: its priority, 0 to 3. */
    public static final Metadata.Key<String> URGENCY = key("calicostream-urgency");

    /** On an engine's RESOURCE_EXHAUSTED: "true" proves that the statement never ran. */
    public static final Metadata.Key<String> NEVER_RAN = key("calicostream-never-ran");

    /** On an engine's answer: its load report, in ORCA's text form. */
    public static final Metadata.Key<String> LOAD = key("endpoint-load-metrics");

    /** On a refusal: for how many milliseconds to stay away; gRPC's own name for that. */
    public static final String STAY_AWAY_NAME = "grpc-retry-pushback-ms";

    public static final Metadata.Key<String> STAY_AWAY = key(STAY_AWAY_NAME);
    private static final String REPORT_FORM = "TEXT ";
    private static final String NAMED = "named_metrics.";

    private GrpcStatuses() {}

    private static Metadata.Key<String> key(String name) {
        return Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER);
    }

    /**
     * The outcome that a failed call proves. RESOURCE_EXHAUSTED is also what an engine says that
     * ran out of memory half-way, so for a query that must not run twice it counts as "full" only
     * with the trailer.
     */
    public static AttemptOutcome outcome(Status status, Metadata trailers, boolean once) {
        switch (status.getCode()) {
            case RESOURCE_EXHAUSTED:
                boolean proven = trailers != null && "true".equals(trailers.get(NEVER_RAN));
                return proven || !once ? AttemptOutcome.OVERLOADED : AttemptOutcome.ERROR;
            case DEADLINE_EXCEEDED:
                return AttemptOutcome.TIMEOUT;
            case CANCELLED:
                return AttemptOutcome.CANCELLED;
            case UNAVAILABLE:
                return AttemptOutcome.RESET;
            default:
                return AttemptOutcome.ERROR;
        }
    }

    /**
     * The load report in ORCA's text form, {@code TEXT
     * cpu_utilization=0.6,named_metrics.inflight=7}, or null.
     */
    public static LoadReport report(Metadata headers, Metadata trailers) {
        String late = trailers == null ? null : trailers.get(LOAD);
        String text = late != null || headers == null ? late : headers.get(LOAD);
        if (text == null || !text.startsWith(REPORT_FORM)) {
            return null;
        }
        LoadReport out = LoadReport.EMPTY;
        for (String pair : text.substring(REPORT_FORM.length()).split(",")) {
            int at = pair.indexOf('=');
            String name = at < 0 ? "" : pair.substring(0, at).trim();
            try {
                double value = Double.parseDouble(pair.substring(at + 1).trim());
                out =
                        name.equals("cpu_utilization")
                                ? out.withColumn("util", value)
                                : name.startsWith(NAMED)
                                        ? out.withColumn(name.substring(NAMED.length()), value)
                                        : out;
            } catch (NumberFormatException e) {
                return null;
            }
        }
        return out;
    }
}

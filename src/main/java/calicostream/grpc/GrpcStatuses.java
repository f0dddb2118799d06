// SPDX-License-Identifier: Apache-2.0
package calicostream.grpc;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.LoadReport;
import io.grpc.Metadata;
import io.grpc.Status;

/** The names and the meaning of the gRPC statuses, headers and trailers that calls carry. */
public final class GrpcStatuses {
    /** Name of {@link #QUERY_CLASS}. */
    public static final String QUERY_CLASS_HEADER = "calicostream-class";

    /** Header of a call and of an attempt: the name of the query class. */
    public static final Metadata.Key<String> QUERY_CLASS = key(QUERY_CLASS_HEADER);

    /** Header of an attempt: the request's id, the same on each attempt of the request. */
    public static final Metadata.Key<String> REQUEST_ID = key("x-request-id");

    /** Header of an attempt: its priority, 0 to 3. */
    public static final Metadata.Key<String> PRIORITY = key("calicostream-urgency");

    /** Trailer of RESOURCE_EXHAUSTED: "true" proves that the statement never ran. */
    public static final Metadata.Key<String> NEVER_RAN = key("calicostream-never-ran");

    /** Header or trailer of an engine's response: its load report, in ORCA's text form. */
    public static final Metadata.Key<String> LOAD_REPORT = key("endpoint-load-metrics");

    /** Name of {@link #RETRY_PUSHBACK}, which gRPC defines. */
    public static final String RETRY_PUSHBACK_HEADER = "grpc-retry-pushback-ms";

    /** Trailer of a rejection: the retry-after time in milliseconds. */
    public static final Metadata.Key<String> RETRY_PUSHBACK = key(RETRY_PUSHBACK_HEADER);

    private static final String ORCA_TEXT_PREFIX = "TEXT ";
    private static final String NAMED_METRIC_PREFIX = "named_metrics.";
    private static final String CPU_UTILIZATION = "cpu_utilization";
    private static final String UTILIZATION_COLUMN = "util";

    private GrpcStatuses() {}

    private static Metadata.Key<String> key(String name) {
        return Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER);
    }

    /**
     * The outcome that the status of a failed call proves. An engine that runs out of memory in the
     * middle of a query also ends it as RESOURCE_EXHAUSTED. For a query that not every engine may
     * run again, that means "overloaded" only with the trailer {@link #NEVER_RAN}.
     *
     * @param trailers the call's trailers, or null
     * @param isIdempotent whether the query may run again on any engine
     */
    public static AttemptOutcome outcomeOf(Status status, Metadata trailers, boolean isIdempotent) {
        switch (status.getCode()) {
            case RESOURCE_EXHAUSTED:
                return isIdempotent || provesNeverRan(trailers)
                        ? AttemptOutcome.OVERLOADED
                        : AttemptOutcome.ERROR;
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
     * Whether the engine states that the query never ran.
     *
     * @param trailers the call's trailers, or null
     */
    public static boolean provesNeverRan(Metadata trailers) {
        return trailers != null && "true".equals(trailers.get(NEVER_RAN));
    }

    /**
     * The load report in ORCA's text form, {@code TEXT
     * cpu_utilization=0.6,named_metrics.inflight=7}; one in the trailers goes before one in the
     * headers.
     *
     * @param headers the response's headers, or null
     * @param trailers the response's trailers, or null
     * @return null if there is no report or it is malformed
     */
    public static LoadReport loadReport(Metadata headers, Metadata trailers) {
        String text = loadReportText(headers, trailers);
        if (text == null || !text.startsWith(ORCA_TEXT_PREFIX)) {
            return null;
        }
        LoadReport report = LoadReport.EMPTY;
        try {
            for (String pair : text.substring(ORCA_TEXT_PREFIX.length()).split(",")) {
                report = withMetric(report, pair);
            }
        } catch (NumberFormatException e) {
            return null;
        }
        return report;
    }

    private static String loadReportText(Metadata headers, Metadata trailers) {
        String inTrailers = trailers == null ? null : trailers.get(LOAD_REPORT);
        if (inTrailers != null || headers == null) {
            return inTrailers;
        }
        return headers.get(LOAD_REPORT);
    }

    /** Adds a pair {@code name=value}; the value of an unknown name must be a number, too. */
    private static LoadReport withMetric(LoadReport report, String pair) {
        int separator = pair.indexOf('=');
        String name = separator < 0 ? "" : pair.substring(0, separator).trim();
        double value = Double.parseDouble(pair.substring(separator + 1).trim());
        if (name.equals(CPU_UTILIZATION)) {
            return report.withColumn(UTILIZATION_COLUMN, value);
        }
        if (name.startsWith(NAMED_METRIC_PREFIX)) {
            return report.withColumn(name.substring(NAMED_METRIC_PREFIX.length()), value);
        }
        return report;
    }
}

// SPDX-License-Identifier: Apache-2.0
package calicostream.admin;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Maps the request line of an administrative request to an operation and its response. */
final class AdminRequestHandler {
    private static final Pattern REQUEST_LINE = Pattern.compile("([A-Z]+) (/\\S*) HTTP/1\\.\\d");
    private static final Pattern ENGINE_PATH =
            Pattern.compile("/-/engines/([^/]+)/(disable|enable)");
    private static final Pattern COMPONENT_PATH = Pattern.compile("/-/([a-z]+)(?:/(.+))?");
    private static final String READY_PATH = "/-/ready";
    private static final String METRICS_PATH = "/-/metrics";

    private final AdminOperations operations;

    AdminRequestHandler(AdminOperations operations) {
        this.operations = operations;
    }

    HttpResponse handle(String requestLine) {
        Matcher request = REQUEST_LINE.matcher(requestLine);
        if (!request.matches()) {
            return badRequest();
        }
        String method = request.group(1);
        String path = request.group(2).replaceFirst("\\?.*", "");
        Matcher engine = ENGINE_PATH.matcher(path);
        if (engine.matches()) {
            return method.equals("POST")
                    ? engineCommand(engine.group(1), engine.group(2))
                    : HttpResponse.methodNotAllowed("POST");
        }
        if (!path.equals(READY_PATH) && !path.equals(METRICS_PATH)) {
            return component(method, path);
        }
        if (!method.equals("GET")) {
            return HttpResponse.methodNotAllowed("GET");
        }
        return path.equals(METRICS_PATH)
                ? HttpResponse.ofJson(operations.metricsJson())
                : readiness();
    }

    private HttpResponse readiness() {
        return operations.isReady()
                ? HttpResponse.ofStatus(200, "OK")
                : HttpResponse.ofStatus(503, "Service Unavailable");
    }

    private HttpResponse engineCommand(String encodedEngine, String command) {
        String engine;
        try {
            // A plus sign in a path stands for itself.
            engine = URLDecoder.decode(encodedEngine.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return badRequest();
        }
        boolean known =
                command.equals("disable")
                        ? operations.disableEngine(engine)
                        : operations.enableEngine(engine);
        return known ? HttpResponse.ofStatus(200, "OK") : notFound();
    }

    /** The status of an optional component, or a command to it. */
    private HttpResponse component(String method, String path) {
        Matcher component = COMPONENT_PATH.matcher(path);
        String status = component.matches() ? operations.statusJson(component.group(1)) : null;
        if (status == null) {
            return notFound();
        }
        String command = component.group(2);
        if (command == null) {
            return method.equals("GET")
                    ? HttpResponse.ofJson(status)
                    : HttpResponse.methodNotAllowed("GET");
        }
        return method.equals("POST")
                ? componentCommand(component.group(1), command)
                : HttpResponse.methodNotAllowed("POST");
    }

    private HttpResponse componentCommand(String component, String command) {
        String rejection = operations.executeCommand(component, command);
        if (rejection == null) {
            return notFound();
        }
        return rejection.isEmpty()
                ? HttpResponse.ofStatus(202, "Accepted")
                : HttpResponse.conflict(rejection);
    }

    private static HttpResponse badRequest() {
        return HttpResponse.ofStatus(400, "Bad Request");
    }

    private static HttpResponse notFound() {
        return HttpResponse.ofStatus(404, "Not Found");
    }
}

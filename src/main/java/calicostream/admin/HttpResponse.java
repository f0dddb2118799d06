// SPDX-License-Identifier: Apache-2.0
package calicostream.admin;

import java.nio.charset.StandardCharsets;

/**
 * A complete HTTP/1.1 response, after which the connection closes.
 *
 * @param extraHeaders further header lines, each with its line end; empty for none
 */
record HttpResponse(
        int status, String reason, String contentType, String body, String extraHeaders) {
    private static final String TEXT = "text/plain";
    private static final String JSON = "application/json";

    /** A response whose body is the reason phrase. */
    static HttpResponse ofStatus(int status, String reason) {
        return new HttpResponse(status, reason, TEXT, reason + "\n", "");
    }

    static HttpResponse ofJson(String json) {
        return new HttpResponse(200, "OK", JSON, json + "\n", "");
    }

    static HttpResponse conflict(String explanation) {
        return new HttpResponse(409, "Conflict", TEXT, explanation + "\n", "");
    }

    static HttpResponse methodNotAllowed(String allowedMethod) {
        String reason = "Method Not Allowed";
        return new HttpResponse(
                405, reason, TEXT, reason + "\n", "Allow: " + allowedMethod + "\r\n");
    }

    byte[] toBytes() {
        int contentLength = body.getBytes(StandardCharsets.UTF_8).length;
        String head =
                "HTTP/1.1 "
                        + status
                        + " "
                        + reason
                        + "\r\nContent-Type: "
                        + contentType
                        + "\r\nContent-Length: "
                        + contentLength
                        + "\r\nCache-Control: no-store\r\n"
                        + extraHeaders
                        + "Connection: close\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.UTF_8);
    }
}

// SPDX-License-Identifier: Apache-2.0
package calicostream.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Plays a recorded exchange against the started program. A line is a party, a sign and bytes: '>'
 * is sent by the party, '<' is what the party must receive next, '!' is a word on it. Parties: c1,
 * c2 ... clients (lines), crowd (many clients), a1, a2 ... callers of the admin address (bytes;
 * what they receive is all until it ends; "until" asks for the figures until they are so), b1, b2
 * ... the same of the successor's, e1, e2 ... engines (commands with '|' between their parts), log
 * and log2 (events; "hold" takes a follower and says nothing), program, successor. In bytes,
 * b64(...) is base64 and \n, \r, \t, \0 are what they usually are; in what is expected, * stands
 * for any bytes, and in events @e1 for an engine's address and @@ for the time in Unix
 * milliseconds.
 */
public final class Exchange implements AutoCloseable {
    private final Map<String, Socket> clients = new HashMap<>();
    private final Map<String, BufferedReader> readers = new HashMap<>();
    private final Map<String, FakeRespEngine> engines = new HashMap<>();
    private final List<Socket> crowd = new ArrayList<>();
    private final Map<String, FakeDiscoveryServer> logs =
            Map.of("log", new FakeDiscoveryServer(), "log2", new FakeDiscoveryServer());
    private final Path folder;
    private int sockets = 1024;
    private final Map<String, String> settings = new HashMap<>();
    private final List<String> known = new ArrayList<>();
    private ServerProgram program;
    private ServerProgram successor;
    private int port;
    private int admin;
    private int successorAdmin;

    private Exchange(Path folder) throws IOException {
        this.folder = folder;
    }

    public static void play(Path file, Path folder) throws Exception {
        try (Exchange exchange = new Exchange(folder)) {
            List<String> lines = Files.readAllLines(file);
            for (int i = 0; i < lines.size(); i++) {
                Matcher line = Pattern.compile("(\\w+) ?([<>!]) ?(.*)").matcher(lines.get(i));
                if (lines.get(i).isBlank() || lines.get(i).startsWith("#")) {
                    continue;
                }
                assertTrue(line.matches(), file + ":" + (i + 1) + " is no step");
                try {
                    exchange.step(line.group(1), line.group(2).charAt(0), line.group(3));
                } catch (IOException | AssertionError e) {
                    throw new AssertionError(
                            file.getFileName() + ":" + (i + 1) + ": " + e.getMessage(), e);
                }
            }
            assertTrue(
                    exchange.program == null
                            || !exchange.program.isAlive()
                            || exchange.stillServes(),
                    "the program no longer serves");
        }
    }

    /** Whatever an exchange did to it, the program must still answer afterwards. */
    private boolean stillServes() throws IOException {
        step("probe", '>', "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}");
        step("probe", '<', "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"pass\":true}}");
        return true;
    }

    private void step(String party, char sign, String text) throws IOException {
        if (party.equals("program")) {
            program(text);
        } else if (party.equals("successor")) {
            assertEquals("start", text);
            successor();
        } else if (logs.containsKey(party)) {
            log(logs.get(party), sign, text);
        } else if (party.equals("crowd")) {
            crowd(text.split(" "));
        } else if (party.matches("[ab]\\d+")) {
            operator(party, sign, text);
        } else if (party.startsWith("e")) {
            engine(party, sign, text);
        } else {
            client(party, sign, text);
        }
    }

    private void program(String word) throws IOException {
        try {
            if (word.startsWith("setting ")) {
                String[] parts = word.substring(8).split(" -> ");
                settings.put(parts[0], parts[1]);
            } else if (word.startsWith("sockets ")) {
                sockets = Integer.parseInt(word.substring(8));
            } else if (word.startsWith("starts unheard")) {
                know(word.substring(14));
                program = new ServerProgram(folder, 0, logs.get("log").port(), known, sockets);
                admin = program.port("admin API on port");
            } else if (word.startsWith("quiet ")) {
                assertTrue(
                        program.isQuiet(Long.parseLong(word.substring(6))),
                        "the program has gone on");
            } else if (word.startsWith("says ")) {
                program.awaitLine(word.substring(5));
            } else if (word.equals("listens")) {
                port = program.port("listening on port");
            } else if (word.startsWith("start")) {
                know(word.substring(5));
                program = started(0);
                admin = program.port("admin API on port");
                port = program.port("listening on port");
            } else if (word.equals("kill")) {
                program.close();
                program.awaitExit();
            } else if (word.equals("term again")) {
                program.signal();
            } else if (word.equals("term")) {
                program.signal();
                program.awaitLine("SIGTERM");
            } else if (word.equals("hup with a bad file")) {
                Files.writeString(folder.resolve("config.json"), "{");
                program.hangUp();
                program.awaitLine("configuration not reloaded");
            } else if (word.startsWith("hup ")) {
                ServerProgram.configure(
                        folder, 0, logs.get(word.substring(4)).port(), List.of(), sockets);
                program.hangUp();
            } else {
                assertEquals("exit 0", word);
                int code = program.awaitExit();
                assertTrue(
                        code == 0 || code == 143,
                        "exit " + code); // 128 + SIGTERM is Java's own way to say so
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private void know(String names) throws IOException {
        for (String name : names.trim().split(" ")) {
            if (!name.isEmpty()) {
                engines.put(name, new FakeRespEngine());
                known.add(ServerProgram.endpoint(name, engines.get(name).address(), "Ready", 0));
            }
        }
    }

    private ServerProgram started(int listen) throws IOException {
        ServerProgram started =
                new ServerProgram(folder, listen, logs.get("log").port(), known, sockets, settings);
        assertEquals("1", logs.get("log").follow());
        return started;
    }

    /** The program of an upgrade, on the first one's address and in its folder. */
    private void successor() throws IOException {
        successor = started(port);
        successorAdmin = successor.port("admin API on port");
        successor.awaitLine("listening on port");
    }

    /**
     * "ask N": so many clients that ask once, have their answer and stay; "silent N"; "ended": none
     * of these stays.
     */
    private void crowd(String[] words) throws IOException {
        if (words[0].equals("ended")) {
            for (Socket each : crowd) {
                assertEquals(-1, each.getInputStream().read());
            }
            return;
        }
        for (int i = 0; i < Integer.parseInt(words[1]); i++) {
            if (words[0].equals("silent")) {
                crowd.add(socket());
            } else {
                String name = "stays" + clients.size();
                step(name, '>', "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}");
                step(name, '<', "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"pass\":true}}");
            }
        }
    }

    /** A caller of the admin address sends bytes, or reads until the program closes. */
    private void operator(String name, char sign, String text) throws IOException {
        if (!clients.containsKey(name)) {
            clients.put(name, socket(name.startsWith("a") ? admin : successorAdmin));
        }
        if (text.startsWith("until ")) {
            String expected = text.substring(6);
            for (long end = System.nanoTime() + ServerProgram.PATIENCE_MS * 1_000_000; true; ) {
                String got =
                        ServerProgram.call(
                                name.startsWith("a") ? admin : successorAdmin, "GET /-/metrics");
                if (System.nanoTime() > end || pattern(expected).matcher(got).matches()) {
                    matches(expected, got);
                    return;
                }
            }
        } else if (sign == '>') {
            clients.get(name).getOutputStream().write(bytes(text).getBytes(StandardCharsets.UTF_8));
        } else if (sign == '<') {
            matches(
                    text,
                    new String(
                            clients.get(name).getInputStream().readAllBytes(),
                            StandardCharsets.UTF_8));
            clients.remove(name).close();
        } else {
            assertEquals("connect", text);
        }
    }

    private Socket socket() throws IOException {
        return socket(port);
    }

    private Socket socket(int to) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), to);
        socket.setSoTimeout((int) ServerProgram.PATIENCE_MS);
        return socket;
    }

    private void log(FakeDiscoveryServer log, char sign, String text) throws IOException {
        if (sign == '<') {
            assertEquals(text, log.follow());
        } else if (text.equals("close")) {
            log.hangUp();
        } else if (text.equals("hold")) {
            log.hold();
        } else if (text.startsWith("answers ")) {
            assertEquals("1", log.follow(events(text.substring(8))));
        } else {
            log.write(events(text));
        }
    }

    private String events(String text) {
        String event = text.replace("@@", Long.toString(System.currentTimeMillis()));
        for (Map.Entry<String, FakeRespEngine> e : engines.entrySet()) {
            event =
                    event.replace(
                            "@" + e.getKey(), "127.0.0.1:" + e.getValue().address().getPort());
        }
        return bytes(event);
    }

    private void engine(String name, char sign, String text) throws IOException {
        FakeRespEngine engine = engines.get(name);
        if (engine == null) {
            engines.put(name, engine = new FakeRespEngine());
        }
        if (sign == '<') {
            matches(text, engine.command());
        } else if (sign == '>') {
            engine.answer(bytes(text));
        } else if (text.startsWith("raw ")) {
            engine.raw(bytes(text.substring(4)));
        } else if (text.equals("die")) {
            engine.die();
        } else if (text.equals("reset")) {
            engine.hangUp();
        } else if (text.equals("ended")) {
            assertTrue(engine.ended(), "the connection is still open");
            engine.hangUp();
        } else if (text.startsWith("quiet ")) {
            assertTrue(
                    engine.quiet(Integer.parseInt(text.substring(6))),
                    "something was sent to " + name);
        } else {
            assertEquals("new", text);
        }
    }

    private void client(String name, char sign, String text) throws IOException {
        if (!clients.containsKey(name)) {
            Socket socket = socket();
            clients.put(name, socket);
            readers.put(
                    name,
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.UTF_8)));
        }
        if (sign == '>') {
            boolean whole = !text.endsWith("\\0");
            String sent =
                    bytes(whole ? text : text.substring(0, text.length() - 2))
                            + (whole ? "\n" : "");
            clients.get(name).getOutputStream().write(sent.getBytes(StandardCharsets.UTF_8));
        } else if (sign == '<') {
            matches(text, readers.get(name).readLine());
        } else if (text.startsWith("flood ")) {
            byte[] flood =
                    "x"
                            .repeat(Integer.parseInt(text.substring(6)))
                            .getBytes(StandardCharsets.US_ASCII);
            clients.get(name).getOutputStream().write(flood);
        } else if (text.equals("ended")) {
            assertEquals(null, readers.get(name).readLine());
        } else {
            assertTrue(text.equals("close") || text.equals("connect"), text);
            if (text.equals("close")) {
                clients.remove(name).close();
            }
        }
    }

    private static String bytes(String text) {
        Matcher encoded = Pattern.compile("b64\\((.*?)\\)").matcher(text);
        return unescaped(
                encoded.replaceAll(
                        m ->
                                Matcher.quoteReplacement(
                                        Base64.getEncoder()
                                                .encodeToString(
                                                        unescaped(m.group(1))
                                                                .getBytes(
                                                                        StandardCharsets.UTF_8)))));
    }

    private static String unescaped(String text) {
        return text.replace("\\n", "\n").replace("\\r", "\r").replace("\\t", "\t");
    }

    private static Pattern pattern(String expected) {
        return Pattern.compile(
                Pattern.quote(bytes(expected)).replace("*", "\\E.*\\Q"), Pattern.DOTALL);
    }

    private static void matches(String expected, String actual) {
        assertTrue(
                actual != null && pattern(expected).matcher(actual).matches(),
                "expected " + expected + " but got " + actual);
    }

    @Override
    public void close() throws IOException {
        for (ServerProgram each : new ServerProgram[] {program, successor}) {
            if (each != null) {
                each.close();
            }
        }
        for (FakeDiscoveryServer log : logs.values()) {
            log.close();
        }
        for (FakeRespEngine engine : engines.values()) {
            engine.close();
        }
        crowd.addAll(clients.values());
        for (Socket client : crowd) {
            client.close();
        }
    }
}

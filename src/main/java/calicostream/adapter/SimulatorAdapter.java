// SPDX-License-Identifier: Apache-2.0
package calicostream.adapter;

import calicostream.config.SettingsException;
import calicostream.routing.SettingsParser;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;

/**
 * Connects routers to the simulator: hosts one router instance for each simulated gateway, and
 * answers each frame of events with a frame of actions. Instances share no state but the endpoint
 * lists.
 */
public final class SimulatorAdapter {
    private static final int STREAM_BUFFER_BYTES = 1 << 16;
    private static final int EXIT_OK = 0;
    private static final int EXIT_BAD_INPUT = 1;

    private final Map<Long, RouterInstance> instances = new HashMap<>();
    private final EventDecoder decoder = new EventDecoder();
    private final ActionReply reply = new ActionReply();

    private SimulatorAdapter() {}

    /**
     * Serves until the input ends or can't be used.
     *
     * @param errors receives one line for the operator where the input can't be used
     * @return the program's exit code
     * @throws IOException where the streams fail
     */
    public static int run(InputStream input, OutputStream output, PrintStream errors)
            throws IOException {
        DataInputStream in =
                new DataInputStream(new BufferedInputStream(input, STREAM_BUFFER_BYTES));
        OutputStream out = new BufferedOutputStream(output, STREAM_BUFFER_BYTES);
        try {
            new SimulatorAdapter().serve(in, out);
            return EXIT_OK;
        } catch (MalformedFrameException | SettingsException e) {
            errors.println("calicostream: " + e.getMessage());
            return EXIT_BAD_INPUT;
        }
    }

    private void serve(DataInputStream in, OutputStream out) throws IOException {
        EventBatch batch = EventBatch.read(in);
        while (batch != null) {
            for (long i = 0; i < batch.recordCount(); i++) {
                handleEvent(batch);
            }
            batch.end();
            reply.send(out);
            batch = EventBatch.read(in);
        }
    }

    private void handleEvent(EventBatch in) {
        EventCode code = EventCode.of(in.u16());
        if (code == EventCode.ENDPOINT_LIST) {
            decoder.defineEndpointList(in);
            return;
        }
        long number = in.u32();
        switch (code) {
            case INSTANCE_STARTED:
                startInstance(number, in);
                break;
            case INSTANCE_STOPPED:
                instances.remove(number);
                break;
            default:
                handleInstanceEvent(code, number, in);
        }
    }

    private void startInstance(long number, EventBatch in) {
        in.u64(); // Not used.
        SettingsParser settings = SettingsParser.ofLines(in.text(in.u32()));
        RouterInstance instance = new RouterInstance(number, settings, reply);
        instances.put(number, instance);
        instance.apply(router -> router.start(in.timeMicros()));
    }

    private void handleInstanceEvent(EventCode code, long number, EventBatch in) {
        RouterInstance instance = instances.get(number);
        if (instance == null) {
            throw new MalformedFrameException(
                    "event " + code.value() + " for instance " + number + ", which is not up");
        }
        instance.apply(decoder.decode(code, in, instance));
    }
}

// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Rows that change engines before the first of them has gone out. */
class UploadTest {
    private static final class Engine implements Upload.Receiver {
        final List<FlightFrame> got = new ArrayList<>();
        boolean left;
        boolean ended;

        @Override
        public void frame(FlightFrame frame) {
            assertFalse(left, "a frame for an engine that has ended is lost");
            got.add(frame);
        }

        @Override
        public void end() {
            assertFalse(left, "the end for an engine that has ended is lost");
            ended = true;
        }

        Upload.Sent sent() {
            if (!got.isEmpty()) {
                return Upload.Sent.ROWS;
            }
            return ended ? Upload.Sent.END : Upload.Sent.NOTHING;
        }
    }

    private static FlightFrame frame() {
        return FlightFrame.of(new byte[0]);
    }

    @Example
    void frameAfterAnEnginesEndIsTheNextEngines() {
        Upload upload = new Upload(frame(), () -> {});
        Engine first = new Engine();
        Engine second = new Engine();
        upload.to(first);
        upload.draw(first);
        assertEquals(Upload.Sent.NOTHING, upload.leave(first));
        first.left = true;
        FlightFrame rows = frame();
        upload.frame(rows);
        assertTrue(upload.to(second));
        upload.draw(second);
        assertEquals(List.of(rows), second.got);
    }

    /**
     * Steps in any order: a frame reaches one engine that is still there, and none is tried after
     * one that has rows. An engine that has the end may have run the upload, with rows or without.
     */
    @Property(tries = 2000)
    void framesGoToOneEngineOnly(@ForAll @Size(max = 40) List<@IntRange(max = 4) Integer> steps) {
        boolean ended = false;
        int[] asked = new int[1];
        Upload upload = new Upload(frame(), () -> asked[0]++);
        Engine now = new Engine();
        upload.to(now);
        List<FlightFrame> sent = new ArrayList<>();
        List<Engine> all = new ArrayList<>(List.of(now));
        for (int step : steps) {
            if (step == 0 && !now.left) {
                upload.draw(now);
            } else if (step == 1 && asked[0] > sent.size() && !ended) {
                sent.add(frame());
                upload.frame(sent.get(sent.size() - 1));
            } else if (step == 2 && !now.left) {
                now.left = true;
                Upload.Sent most =
                        all.stream().map(Engine::sent).max(Comparator.naturalOrder()).get();
                assertEquals(most, upload.leave(now));
                assertEquals(most != Upload.Sent.NOTHING, upload.mayHaveRun());
            } else if (step == 3 && now.left) {
                Engine next = new Engine();
                boolean rowsAreOut = all.stream().anyMatch(each -> !each.got.isEmpty());
                assertEquals(!rowsAreOut, upload.to(next));
                if (!rowsAreOut) {
                    all.add(next);
                    now = next;
                }
            } else if (step == 4 && !ended) {
                ended = true;
                upload.end();
            }
        }
        List<FlightFrame> got = all.stream().flatMap(each -> each.got.stream()).toList();
        assertEquals(sent.subList(0, got.size()), got, "in order, none lost, none twice");
        assertTrue(sent.size() - got.size() <= 1, "one at most waits");
    }
}

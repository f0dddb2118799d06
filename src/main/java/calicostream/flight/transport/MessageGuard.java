// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http2.Http2Connection;
import io.netty.handler.codec.http2.Http2ConnectionAdapter;
import io.netty.handler.codec.http2.Http2ConnectionHandler;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Exception;
import io.netty.handler.codec.http2.Http2FrameListener;
import io.netty.handler.codec.http2.Http2FrameListenerDecorator;
import io.netty.handler.codec.http2.Http2Stream;
import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps small DATA frames from costing more memory than their bytes: gRPC keeps a buffer for each
 * frame, and each buffer keeps all that was read from the socket with it. Empty frames are dropped,
 * small ones collected until they make up a message or a block. Messages that are not whole count
 * in {@link PartialMessages}. Runs on the connection's thread.
 */
final class MessageGuard extends Http2FrameListenerDecorator {
    private static final Logger LOG = LoggerFactory.getLogger(MessageGuard.class);

    /** Frames of at least this size pass on as they are, with the buffer that they were read to. */
    private static final int BLOCK_BYTES = 8 * 1024;

    /** What a stream may pass on beyond its bytes' worth of frames. */
    private static final long FREE_FRAMES = 4096;

    /** A stream passes on one frame for so many bytes in the mean, or fewer. */
    private static final long MIN_BYTES_PER_FRAME = 16;

    private final Http2Connection connection;
    private final Http2Connection.PropertyKey key;
    private final Http2ConnectionHandler http;
    private final PartialMessages partialMessages;
    private final Set<Inbound> partial = new HashSet<>();

    MessageGuard(
            Http2FrameListener grpc, Http2ConnectionHandler http, PartialMessages partialMessages) {
        super(grpc);
        this.http = http;
        this.partialMessages = partialMessages;
        connection = http.connection();
        key = connection.newKey();
        connection.addListener(
                new Http2ConnectionAdapter() {
                    @Override
                    public void onStreamClosed(Http2Stream stream) {
                        Inbound inbound = stream.removeProperty(key);
                        if (inbound != null) {
                            inbound.end();
                        }
                    }
                });
    }

    /** Whether more may be read for one of the messages that are not whole, or there is none. */
    boolean mayRead() {
        return partial.isEmpty() || partial.stream().anyMatch(partialMessages::mayRead);
    }

    @Override
    public int onDataRead(
            ChannelHandlerContext context,
            int streamId,
            ByteBuf data,
            int padding,
            boolean endOfStream)
            throws Http2Exception {
        Http2Stream stream = connection.stream(streamId);
        if (stream == null || data.readableBytes() == 0 && !endOfStream) {
            return padding;
        }
        Inbound inbound = stream.getProperty(key);
        if (inbound == null) {
            inbound = new Inbound(context, streamId);
            stream.setProperty(key, inbound);
        }
        return inbound.received(data, padding, endOfStream);
    }

    /** The data of one stream. */
    private final class Inbound implements PartialMessages.Holder {
        private final ChannelHandlerContext context;
        private final int streamId;
        private final MessageProgress progress = new MessageProgress();
        private ByteBuf collected = Unpooled.EMPTY_BUFFER;
        private long counted;
        private long passedFrames;
        private long passedBytes;

        Inbound(ChannelHandlerContext context, int streamId) {
            this.context = context;
            this.streamId = streamId;
        }

        int received(ByteBuf data, int padding, boolean endOfStream) throws Http2Exception {
            progress.received(data);
            count();
            boolean isPartial = progress.partialBytes() > 0 && !endOfStream;
            int collectedBytes = collected.readableBytes() + data.readableBytes();
            if (isPartial && collectedBytes < BLOCK_BYTES) {
                collect(data);
                return padding;
            }
            return data.readableBytes() >= BLOCK_BYTES && collected.readableBytes() == 0
                    ? pass(data, padding, endOfStream)
                    : passCollected(data, padding, endOfStream);
        }

        private void count() {
            long partialBytes = progress.partialBytes();
            if (partialBytes < counted) {
                partialMessages.ended(this);
                counted = 0;
            }
            if (partialBytes > counted) {
                partialMessages.received(this, partialBytes - counted);
                partial.add(this);
            } else if (partialBytes == 0) {
                partial.remove(this);
            }
            counted = partialBytes;
        }

        private void collect(ByteBuf data) {
            if (collected == Unpooled.EMPTY_BUFFER) {
                collected = Unpooled.buffer(data.readableBytes(), BLOCK_BYTES);
            }
            collected.writeBytes(data, data.readerIndex(), data.readableBytes());
        }

        private int passCollected(ByteBuf data, int padding, boolean endOfStream)
                throws Http2Exception {
            ByteBuf block = Unpooled.buffer(collected.readableBytes() + data.readableBytes());
            try {
                block.writeBytes(collected, collected.readerIndex(), collected.readableBytes());
                block.writeBytes(data, data.readerIndex(), data.readableBytes());
                collected = Unpooled.EMPTY_BUFFER;
                return pass(block, padding, endOfStream);
            } finally {
                block.release();
            }
        }

        private int pass(ByteBuf data, int padding, boolean endOfStream) throws Http2Exception {
            passedFrames++;
            passedBytes += data.readableBytes();
            if (passedFrames > FREE_FRAMES + passedBytes / MIN_BYTES_PER_FRAME) {
                throw Http2Exception.connectionError(
                        Http2Error.ENHANCE_YOUR_CALM, "too many small frames of data");
            }
            return MessageGuard.super.onDataRead(context, streamId, data, padding, endOfStream);
        }

        @Override
        public void giveUp() {
            context.executor().execute(this::reset);
        }

        /**
         * The call ends as if its client had cancelled it; the client hears why. A connection that
         * has no other call ends with it.
         */
        private void reset() {
            if (connection.stream(streamId) == null) {
                return;
            }
            long reason = Http2Error.ENHANCE_YOUR_CALM.code();
            try {
                MessageGuard.this.onRstStreamRead(context, streamId, reason);
            } catch (Http2Exception e) {
                LOG.debug("stream {} could not be cancelled: {}", streamId, e.toString());
            }
            boolean hasOtherCalls = connection.numActiveStreams() > 1;
            ChannelFuture told = http.resetStream(context, streamId, reason, context.newPromise());
            context.flush();
            if (!hasOtherCalls) {
                // What the client goes on to send would be read for nothing.
                told.addListener(ChannelFutureListener.CLOSE);
            }
        }

        void end() {
            partialMessages.ended(this);
            partial.remove(this);
            collected = Unpooled.EMPTY_BUFFER;
        }
    }
}

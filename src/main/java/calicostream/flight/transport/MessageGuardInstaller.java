// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http2.Http2ConnectionAdapter;
import io.netty.handler.codec.http2.Http2ConnectionHandler;
import io.netty.handler.codec.http2.Http2Stream;

/**
 * Puts a {@link MessageGuard} before gRPC's own listener of frames. gRPC's handler stands in the
 * pipeline before the first bytes are read, and no frame has been decoded until then.
 */
final class MessageGuardInstaller extends ChannelInboundHandlerAdapter {
    private final ClientConnection connection;
    private final PartialMessages partialMessages;

    MessageGuardInstaller(ClientConnection connection, PartialMessages partialMessages) {
        this.connection = connection;
        this.partialMessages = partialMessages;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object read) {
        Http2ConnectionHandler http = context.pipeline().get(Http2ConnectionHandler.class);
        if (http != null) {
            MessageGuard guard =
                    new MessageGuard(http.decoder().frameListener(), http, partialMessages);
            http.decoder().frameListener(guard);
            connection.setReadCondition(guard::mayRead);
            http.connection().addListener(new CallCounter());
            context.pipeline().remove(this);
        }
        context.fireChannelRead(read);
    }

    /** Counts the calls of the connection. */
    private final class CallCounter extends Http2ConnectionAdapter {
        @Override
        public void onStreamActive(Http2Stream stream) {
            connection.callOpened();
        }

        @Override
        public void onStreamClosed(Http2Stream stream) {
            connection.callEnded();
        }
    }
}

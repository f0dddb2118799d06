// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.engine;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.Http2Connection;
import io.netty.handler.codec.http2.Http2ConnectionHandler;
import io.netty.handler.codec.http2.Http2Exception;
import io.netty.handler.codec.http2.Http2LocalFlowController;
import org.slf4j.LoggerFactory;

/**
 * A connection to an engine whose window for all streams together is never what stops one of them.
 * gRPC makes it as wide as one stream's: then a single client that reads nothing would hold up
 * every other stream of its engine's connection.
 */
final class WideConnection extends NioSocketChannel {
    WideConnection() {
        pipeline().addLast(new Widen());
    }

    /** Waits for the engine's first bytes: by then gRPC's handler stands in the pipeline. */
    private static final class Widen extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object read) {
            context.fireChannelRead(read);
            Http2ConnectionHandler http = context.pipeline().get(Http2ConnectionHandler.class);
            if (http == null) {
                return;
            }
            context.pipeline().remove(this);
            Http2Connection connection = http.connection();
            Http2LocalFlowController flow = connection.local().flowController();
            try {
                int now = flow.initialWindowSize(connection.connectionStream());
                flow.incrementWindowSize(connection.connectionStream(), Integer.MAX_VALUE - now);
                context.pipeline().flush();
            } catch (Http2Exception e) {
                LoggerFactory.getLogger(WideConnection.class).warn("window: {}", e.toString());
            }
        }
    }
}

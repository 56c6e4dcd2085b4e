package plantainturn.relay.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpVersion
import org.apache.logging.log4j.LogManager
import plantainturn.connection.roster.SocketLocation

/** Serves internal requests with small bodies: readiness probes of the load balancer, peers, metrics and dumps. */
public class InternalHttpServer(
    private val loop: EventLoop,
) {
    private val logger = LogManager.getLogger(InternalHttpServer::class.java)
    private val handlers = HashMap<String, (ByteArray, (InternalHttpResponse) -> Unit) -> Unit>()

    /** Registers [handler] for requests whose method and path are [call], such as `GET /metrics`. */
    public fun on(
        call: String,
        handler: (ByteArray, (InternalHttpResponse) -> Unit) -> Unit,
    ) {
        handlers[call] = handler
    }

    /** Listens at [location] and calls [done] with null on success or with the failure. */
    public fun listen(
        location: SocketLocation,
        done: (Throwable?) -> Unit,
    ) {
        ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        channel.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAXIMUM_BYTES), Handler())
                    }
                },
            ).bind(location.ip, location.port)
            .addListener { done((it as ChannelFuture).cause()) }
    }

    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(
            context: ChannelHandlerContext,
            request: FullHttpRequest,
        ) {
            val call = "${request.method()} ${request.uri().substringBefore('?')}"
            val body = ByteArray(request.content().readableBytes()).also { request.content().readBytes(it) }
            val handler = handlers[call] ?: { _, done -> done(InternalHttpResponse(NOT_FOUND)) }
            handler(body) { answer -> write(context, answer) }
        }

        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            logger.debug("event=small-server-connection-failed cause={}", cause.toString())
            context.close()
        }

        private fun write(
            context: ChannelHandlerContext,
            answer: InternalHttpResponse,
        ) {
            val response =
                DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(answer.status),
                    Unpooled.wrappedBuffer(answer.body),
                )
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body.size)
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType)
            context.writeAndFlush(response)
        }
    }

    private companion object {
        /** Larger than the largest exchange between peers in a system of hundreds of nodes. */
        const val MAXIMUM_BYTES = 1_048_576
        const val NOT_FOUND = 404
    }
}

package wigeonreel.wire;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Calls between daemons. The transport is gRPC over TCP.
 * </pre>
 */
@javax.annotation.Generated(
    value = "by gRPC proto compiler (version 1.68.1)",
    comments = "Source: peer.proto")
@io.grpc.stub.annotations.GrpcGenerated
public final class PeerGrpc {

  private PeerGrpc() {}

  public static final java.lang.String SERVICE_NAME = "wigeonreel.wire.Peer";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<wigeonreel.wire.RequestFrame,
      wigeonreel.wire.ForwardReply> getExchangeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Exchange",
      requestType = wigeonreel.wire.RequestFrame.class,
      responseType = wigeonreel.wire.ForwardReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
  public static io.grpc.MethodDescriptor<wigeonreel.wire.RequestFrame,
      wigeonreel.wire.ForwardReply> getExchangeMethod() {
    io.grpc.MethodDescriptor<wigeonreel.wire.RequestFrame, wigeonreel.wire.ForwardReply> getExchangeMethod;
    if ((getExchangeMethod = PeerGrpc.getExchangeMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getExchangeMethod = PeerGrpc.getExchangeMethod) == null) {
          PeerGrpc.getExchangeMethod = getExchangeMethod =
              io.grpc.MethodDescriptor.<wigeonreel.wire.RequestFrame, wigeonreel.wire.ForwardReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Exchange"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  wigeonreel.wire.RequestFrame.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  wigeonreel.wire.ForwardReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Exchange"))
              .build();
        }
      }
    }
    return getExchangeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<wigeonreel.wire.BlockRequest,
      wigeonreel.wire.BlockReply> getBlockMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Block",
      requestType = wigeonreel.wire.BlockRequest.class,
      responseType = wigeonreel.wire.BlockReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<wigeonreel.wire.BlockRequest,
      wigeonreel.wire.BlockReply> getBlockMethod() {
    io.grpc.MethodDescriptor<wigeonreel.wire.BlockRequest, wigeonreel.wire.BlockReply> getBlockMethod;
    if ((getBlockMethod = PeerGrpc.getBlockMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getBlockMethod = PeerGrpc.getBlockMethod) == null) {
          PeerGrpc.getBlockMethod = getBlockMethod =
              io.grpc.MethodDescriptor.<wigeonreel.wire.BlockRequest, wigeonreel.wire.BlockReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Block"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  wigeonreel.wire.BlockRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  wigeonreel.wire.BlockReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Block"))
              .build();
        }
      }
    }
    return getBlockMethod;
  }

  private static volatile io.grpc.MethodDescriptor<wigeonreel.wire.BorrowRequest,
      wigeonreel.wire.BorrowReply> getBorrowMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Borrow",
      requestType = wigeonreel.wire.BorrowRequest.class,
      responseType = wigeonreel.wire.BorrowReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<wigeonreel.wire.BorrowRequest,
      wigeonreel.wire.BorrowReply> getBorrowMethod() {
    io.grpc.MethodDescriptor<wigeonreel.wire.BorrowRequest, wigeonreel.wire.BorrowReply> getBorrowMethod;
    if ((getBorrowMethod = PeerGrpc.getBorrowMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getBorrowMethod = PeerGrpc.getBorrowMethod) == null) {
          PeerGrpc.getBorrowMethod = getBorrowMethod =
              io.grpc.MethodDescriptor.<wigeonreel.wire.BorrowRequest, wigeonreel.wire.BorrowReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Borrow"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  wigeonreel.wire.BorrowRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  wigeonreel.wire.BorrowReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Borrow"))
              .build();
        }
      }
    }
    return getBorrowMethod;
  }

  private static volatile io.grpc.MethodDescriptor<wigeonreel.wire.FetchConfigRequest,
      wigeonreel.wire.ConfigDelta> getFetchConfigMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "FetchConfig",
      requestType = wigeonreel.wire.FetchConfigRequest.class,
      responseType = wigeonreel.wire.ConfigDelta.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<wigeonreel.wire.FetchConfigRequest,
      wigeonreel.wire.ConfigDelta> getFetchConfigMethod() {
    io.grpc.MethodDescriptor<wigeonreel.wire.FetchConfigRequest, wigeonreel.wire.ConfigDelta> getFetchConfigMethod;
    if ((getFetchConfigMethod = PeerGrpc.getFetchConfigMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getFetchConfigMethod = PeerGrpc.getFetchConfigMethod) == null) {
          PeerGrpc.getFetchConfigMethod = getFetchConfigMethod =
              io.grpc.MethodDescriptor.<wigeonreel.wire.FetchConfigRequest, wigeonreel.wire.ConfigDelta>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "FetchConfig"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  wigeonreel.wire.FetchConfigRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  wigeonreel.wire.ConfigDelta.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("FetchConfig"))
              .build();
        }
      }
    }
    return getFetchConfigMethod;
  }

  private static volatile io.grpc.MethodDescriptor<wigeonreel.wire.ConfigDelta,
      wigeonreel.wire.ConfigReceipt> getOfferConfigMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "OfferConfig",
      requestType = wigeonreel.wire.ConfigDelta.class,
      responseType = wigeonreel.wire.ConfigReceipt.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<wigeonreel.wire.ConfigDelta,
      wigeonreel.wire.ConfigReceipt> getOfferConfigMethod() {
    io.grpc.MethodDescriptor<wigeonreel.wire.ConfigDelta, wigeonreel.wire.ConfigReceipt> getOfferConfigMethod;
    if ((getOfferConfigMethod = PeerGrpc.getOfferConfigMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getOfferConfigMethod = PeerGrpc.getOfferConfigMethod) == null) {
          PeerGrpc.getOfferConfigMethod = getOfferConfigMethod =
              io.grpc.MethodDescriptor.<wigeonreel.wire.ConfigDelta, wigeonreel.wire.ConfigReceipt>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "OfferConfig"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  wigeonreel.wire.ConfigDelta.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  wigeonreel.wire.ConfigReceipt.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("OfferConfig"))
              .build();
        }
      }
    }
    return getOfferConfigMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static PeerStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerStub>() {
        @java.lang.Override
        public PeerStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerStub(channel, callOptions);
        }
      };
    return PeerStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static PeerBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub>() {
        @java.lang.Override
        public PeerBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingStub(channel, callOptions);
        }
      };
    return PeerBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static PeerFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub>() {
        @java.lang.Override
        public PeerFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerFutureStub(channel, callOptions);
        }
      };
    return PeerFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Calls between daemons. The transport is gRPC over TCP.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Runs requests on the backend server beside the receiving daemon. One long stream carries all requests between two
     * daemons; replies come in any order and name the attempt that they answer.
     * </pre>
     */
    default io.grpc.stub.StreamObserver<wigeonreel.wire.RequestFrame> exchange(
        io.grpc.stub.StreamObserver<wigeonreel.wire.ForwardReply> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getExchangeMethod(), responseObserver);
    }

    /**
     * <pre>
     * Asks a former home of an idempotency key to block it or to tell its outcome.
     * </pre>
     */
    default void block(wigeonreel.wire.BlockRequest request,
        io.grpc.stub.StreamObserver<wigeonreel.wire.BlockReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getBlockMethod(), responseObserver);
    }

    /**
     * <pre>
     * Borrows tokens of a client account's limit from a holder of its share.
     * </pre>
     */
    default void borrow(wigeonreel.wire.BorrowRequest request,
        io.grpc.stub.StreamObserver<wigeonreel.wire.BorrowReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getBorrowMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns the configuration entries changed after a version.
     * </pre>
     */
    default void fetchConfig(wigeonreel.wire.FetchConfigRequest request,
        io.grpc.stub.StreamObserver<wigeonreel.wire.ConfigDelta> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFetchConfigMethod(), responseObserver);
    }

    /**
     * <pre>
     * Offers a configuration delta and returns the version now in force.
     * </pre>
     */
    default void offerConfig(wigeonreel.wire.ConfigDelta request,
        io.grpc.stub.StreamObserver<wigeonreel.wire.ConfigReceipt> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getOfferConfigMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Peer.
   * <pre>
   * Calls between daemons. The transport is gRPC over TCP.
   * </pre>
   */
  public static abstract class PeerImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return PeerGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Peer.
   * <pre>
   * Calls between daemons. The transport is gRPC over TCP.
   * </pre>
   */
  public static final class PeerStub
      extends io.grpc.stub.AbstractAsyncStub<PeerStub> {
    private PeerStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerStub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs requests on the backend server beside the receiving daemon. One long stream carries all requests between two
     * daemons; replies come in any order and name the attempt that they answer.
     * </pre>
     */
    public io.grpc.stub.StreamObserver<wigeonreel.wire.RequestFrame> exchange(
        io.grpc.stub.StreamObserver<wigeonreel.wire.ForwardReply> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncBidiStreamingCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), responseObserver);
    }

    /**
     * <pre>
     * Asks a former home of an idempotency key to block it or to tell its outcome.
     * </pre>
     */
    public void block(wigeonreel.wire.BlockRequest request,
        io.grpc.stub.StreamObserver<wigeonreel.wire.BlockReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getBlockMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Borrows tokens of a client account's limit from a holder of its share.
     * </pre>
     */
    public void borrow(wigeonreel.wire.BorrowRequest request,
        io.grpc.stub.StreamObserver<wigeonreel.wire.BorrowReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getBorrowMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Returns the configuration entries changed after a version.
     * </pre>
     */
    public void fetchConfig(wigeonreel.wire.FetchConfigRequest request,
        io.grpc.stub.StreamObserver<wigeonreel.wire.ConfigDelta> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFetchConfigMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Offers a configuration delta and returns the version now in force.
     * </pre>
     */
    public void offerConfig(wigeonreel.wire.ConfigDelta request,
        io.grpc.stub.StreamObserver<wigeonreel.wire.ConfigReceipt> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getOfferConfigMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Peer.
   * <pre>
   * Calls between daemons. The transport is gRPC over TCP.
   * </pre>
   */
  public static final class PeerBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingStub> {
    private PeerBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Asks a former home of an idempotency key to block it or to tell its outcome.
     * </pre>
     */
    public wigeonreel.wire.BlockReply block(wigeonreel.wire.BlockRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getBlockMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Borrows tokens of a client account's limit from a holder of its share.
     * </pre>
     */
    public wigeonreel.wire.BorrowReply borrow(wigeonreel.wire.BorrowRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getBorrowMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns the configuration entries changed after a version.
     * </pre>
     */
    public wigeonreel.wire.ConfigDelta fetchConfig(wigeonreel.wire.FetchConfigRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFetchConfigMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Offers a configuration delta and returns the version now in force.
     * </pre>
     */
    public wigeonreel.wire.ConfigReceipt offerConfig(wigeonreel.wire.ConfigDelta request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getOfferConfigMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Peer.
   * <pre>
   * Calls between daemons. The transport is gRPC over TCP.
   * </pre>
   */
  public static final class PeerFutureStub
      extends io.grpc.stub.AbstractFutureStub<PeerFutureStub> {
    private PeerFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Asks a former home of an idempotency key to block it or to tell its outcome.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<wigeonreel.wire.BlockReply> block(
        wigeonreel.wire.BlockRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getBlockMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Borrows tokens of a client account's limit from a holder of its share.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<wigeonreel.wire.BorrowReply> borrow(
        wigeonreel.wire.BorrowRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getBorrowMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Returns the configuration entries changed after a version.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<wigeonreel.wire.ConfigDelta> fetchConfig(
        wigeonreel.wire.FetchConfigRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFetchConfigMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Offers a configuration delta and returns the version now in force.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<wigeonreel.wire.ConfigReceipt> offerConfig(
        wigeonreel.wire.ConfigDelta request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getOfferConfigMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_BLOCK = 0;
  private static final int METHODID_BORROW = 1;
  private static final int METHODID_FETCH_CONFIG = 2;
  private static final int METHODID_OFFER_CONFIG = 3;
  private static final int METHODID_EXCHANGE = 4;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_BLOCK:
          serviceImpl.block((wigeonreel.wire.BlockRequest) request,
              (io.grpc.stub.StreamObserver<wigeonreel.wire.BlockReply>) responseObserver);
          break;
        case METHODID_BORROW:
          serviceImpl.borrow((wigeonreel.wire.BorrowRequest) request,
              (io.grpc.stub.StreamObserver<wigeonreel.wire.BorrowReply>) responseObserver);
          break;
        case METHODID_FETCH_CONFIG:
          serviceImpl.fetchConfig((wigeonreel.wire.FetchConfigRequest) request,
              (io.grpc.stub.StreamObserver<wigeonreel.wire.ConfigDelta>) responseObserver);
          break;
        case METHODID_OFFER_CONFIG:
          serviceImpl.offerConfig((wigeonreel.wire.ConfigDelta) request,
              (io.grpc.stub.StreamObserver<wigeonreel.wire.ConfigReceipt>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_EXCHANGE:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.exchange(
              (io.grpc.stub.StreamObserver<wigeonreel.wire.ForwardReply>) responseObserver);
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getExchangeMethod(),
          io.grpc.stub.ServerCalls.asyncBidiStreamingCall(
            new MethodHandlers<
              wigeonreel.wire.RequestFrame,
              wigeonreel.wire.ForwardReply>(
                service, METHODID_EXCHANGE)))
        .addMethod(
          getBlockMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              wigeonreel.wire.BlockRequest,
              wigeonreel.wire.BlockReply>(
                service, METHODID_BLOCK)))
        .addMethod(
          getBorrowMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              wigeonreel.wire.BorrowRequest,
              wigeonreel.wire.BorrowReply>(
                service, METHODID_BORROW)))
        .addMethod(
          getFetchConfigMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              wigeonreel.wire.FetchConfigRequest,
              wigeonreel.wire.ConfigDelta>(
                service, METHODID_FETCH_CONFIG)))
        .addMethod(
          getOfferConfigMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              wigeonreel.wire.ConfigDelta,
              wigeonreel.wire.ConfigReceipt>(
                service, METHODID_OFFER_CONFIG)))
        .build();
  }

  private static abstract class PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    PeerBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return wigeonreel.wire.PeerOuterClass.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Peer");
    }
  }

  private static final class PeerFileDescriptorSupplier
      extends PeerBaseDescriptorSupplier {
    PeerFileDescriptorSupplier() {}
  }

  private static final class PeerMethodDescriptorSupplier
      extends PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    PeerMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (PeerGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new PeerFileDescriptorSupplier())
              .addMethod(getExchangeMethod())
              .addMethod(getBlockMethod())
              .addMethod(getBorrowMethod())
              .addMethod(getFetchConfigMethod())
              .addMethod(getOfferConfigMethod())
              .build();
        }
      }
    }
    return result;
  }
}

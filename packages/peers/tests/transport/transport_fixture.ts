/** Fixture: two daemons connected by one kind of transport. */
import {create} from '@bufbuild/protobuf';
import {type DaemonId, toId, VirtualClock} from '@marigoldpost/common';
import {
  ConfigTextSchema,
  ConnectPeerTransport,
  FetchConfigSchema,
  OperationReplySchema,
  type PeerAddress,
  type PeerReplyBody,
  type PeerRequestBody,
  type PeerTransport,
  RelayCallSchema,
  ReservedPermitsSchema,
  TakeQuotaSchema,
} from '@marigoldpost/peers';
import {MemoryPeerNetwork} from '@marigoldpost/standins';

/** A requester and a server that can be restarted at the same address. */
export interface TransportFixture {
  readonly clock: VirtualClock;
  readonly client: PeerTransport;
  readonly server: PeerTransport;
  readonly serverAddress: PeerAddress;
  restartServer(): Promise<PeerTransport>;
  stop(): Promise<void>;
}

const clientId = toId<DaemonId>('client');
const serverId = toId<DaemonId>('server');
const host = '127.0.0.1';
/** Limit of a message between daemons. */
const maxMessageBytes = 32 * 2 ** 20;

/** Creates the fixture for the transport kind `memory` or `connect`. */
export function createTransportFixture(
  kind: string,
): Promise<TransportFixture> {
  return kind === 'memory' ? createMemory() : createConnect();
}

async function createMemory(): Promise<TransportFixture> {
  const clock = VirtualClock.create();
  const network = MemoryPeerNetwork.create({clock});
  const client = network.createTransport(clientId);
  const server = network.createTransport(serverId);
  await client.start();
  await server.start();
  return {
    clock,
    client,
    server,
    serverAddress: {daemon: serverId, address: 'http://10.0.0.1:1'},
    restartServer: async () => {
      const restarted = network.createTransport(serverId);
      await restarted.start();
      return restarted;
    },
    stop: async () => {
      await client.stop();
      await server.stop();
    },
  };
}

async function createConnect(): Promise<TransportFixture> {
  const clock = VirtualClock.create();
  const started: ConnectPeerTransport[] = [];
  const startTransport = async (daemon: DaemonId, port: number) => {
    const transport = ConnectPeerTransport.create({daemon, host, port, clock});
    await transport.start();
    started.push(transport);
    return transport;
  };
  const client = await startTransport(clientId, 0);
  const server = await startTransport(serverId, 0);
  const serverAddress = server.getAddress();
  const port = Number(new URL(serverAddress.address).port);
  return {
    clock,
    client,
    server,
    serverAddress,
    restartServer: () => startTransport(serverId, port),
    stop: async () => {
      for (const transport of started) await transport.stop();
    },
  };
}

/** Creates a request that carries a number. */
export function createNumberRequest(value: number): PeerRequestBody {
  const message = create(FetchConfigSchema, {aboveVersion: BigInt(value)});
  return {case: 'fetchConfig', value: message};
}

/** Gets the number that a request carries, or -1 for another request. */
export function getRequestNumber(request: PeerRequestBody): number {
  return request.case === 'fetchConfig'
    ? Number(request.value.aboveVersion)
    : -1;
}

/** Creates a reply that carries a number. */
export function createNumberReply(value: number): PeerReplyBody {
  const message = create(ConfigTextSchema, {version: BigInt(value)});
  return {case: 'config', value: message};
}

/** Gets the number that a reply carries, or -1 for another reply. */
export function getReplyNumber(reply: PeerReplyBody): number {
  return reply.case === 'config' ? Number(reply.value.version) : -1;
}

/** Creates a request of more than a message may have. */
export function createLargeRequest(): PeerRequestBody {
  const value = create(RelayCallSchema, {callJson: createLargeText()});
  return {case: 'relayCall', value};
}

/** Creates a reply of more than a message may have. */
export function createLargeReply(): PeerReplyBody {
  const value = create(OperationReplySchema, {resultJson: createLargeText()});
  return {case: 'operation', value};
}

/** Creates a request with a number that its field does not hold. */
export function createMalformedRequest(): PeerRequestBody {
  return {case: 'takeQuota', value: create(TakeQuotaSchema, {count: 1.5})};
}

/** Creates a reply with a number that its field does not hold. */
export function createMalformedReply(): PeerReplyBody {
  const value = create(ReservedPermitsSchema, {requesters: 1.5});
  return {case: 'reservedPermits', value};
}

function createLargeText(): string {
  return 'x'.repeat(maxMessageBytes);
}

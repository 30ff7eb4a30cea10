/** Connections to the peers' port that do not keep to what daemons do. */
import http2, {type ClientHttp2Session} from 'node:http2';
import {setTimeout as pause} from 'node:timers/promises';
import {create, toBinary} from '@bufbuild/protobuf';
import {
  FetchConfigSchema,
  PeerFrameSchema,
  PeerService,
} from '@marigoldpost/peers';

/** What the clients of a crowd do; names as in the feature. */
export type PeerCrowdShape =
  | 'messages that do not end'
  | 'streams without requests'
  | 'requests whose replies they do not read';

/** Time for which a crowd stays at least. */
const stayMs = 2500;
/** Length of a message below the limit of the port, 32 MiB. */
const messageBytes = 30 * 2 ** 20;
/** Part of it that a client sends. */
const sentBytes = 4 * 2 ** 20;
const streamsPerClient = 500;
const requestsPerClient = 20_000;
/** Length of the prefix of a gRPC message. */
const prefixBytes = 5;
const requestHead = {
  ':method': 'POST',
  ':path': `/${PeerService.typeName}/Exchange`,
  'content-type': 'application/grpc+proto',
  te: 'trailers',
};

/** Connections of a crowd to the peers' port. */
export class PeerCrowd {
  private readonly sessions: ClientHttp2Session[] = [];

  private constructor() {}

  /** Opens the connections of a crowd and does what its shape says. */
  static async come(
    address: {host: string; port: number},
    clients: number,
    shape: PeerCrowdShape,
  ): Promise<PeerCrowd> {
    const crowd = new PeerCrowd();
    for (let index = 0; index < clients; index++) {
      const session = http2.connect(`http://${address.host}:${address.port}`);
      session.on('error', () => undefined);
      crowd.sessions.push(session);
      begin(session, shape);
    }
    await pause(stayMs);
    return crowd;
  }

  /** Ends all connections. */
  async leave(): Promise<void> {
    for (const session of this.sessions) session.destroy();
    await pause(1);
  }
}

function begin(session: ClientHttp2Session, shape: PeerCrowdShape): void {
  switch (shape) {
    case 'messages that do not end': {
      const stream = openStream(session);
      stream.write(createPrefix(messageBytes));
      stream.write(Buffer.alloc(sentBytes));
      return;
    }
    case 'streams without requests':
      for (let index = 0; index < streamsPerClient; index++) {
        openStream(session);
      }
      return;
    case 'requests whose replies they do not read': {
      const requests = Array.from({length: requestsPerClient}, (_none, index) =>
        createRequest(index),
      );
      openStream(session).write(Buffer.concat(requests));
      return;
    }
  }
}

/** Opens a stream whose data is never read. */
function openStream(session: ClientHttp2Session): http2.ClientHttp2Stream {
  const stream = session.request(requestHead);
  stream.on('error', () => undefined);
  return stream;
}

function createRequest(index: number): Buffer {
  const value = create(FetchConfigSchema);
  const frame = create(PeerFrameSchema, {
    exchange: BigInt(index),
    body: {
      case: 'request',
      value: {sender: 'crowd', body: {case: 'fetchConfig', value}},
    },
  });
  const bytes = toBinary(PeerFrameSchema, frame);
  return Buffer.concat([createPrefix(bytes.byteLength), bytes]);
}

function createPrefix(length: number): Buffer {
  const prefix = Buffer.alloc(prefixBytes);
  prefix.writeUInt32BE(length, 1);
  return prefix;
}

/** Steps for the reachability of one archive. */
import assert from 'node:assert/strict';
import {create} from '@bufbuild/protobuf';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
  type DataCentreId,
  type ErrorKind,
  MarigoldpostError,
  SystemClock,
  toId,
} from '@marigoldpost/common';
import {
  ArchiveStatusSchema,
  FoundTurnsSchema,
  MessageTransport,
  type PeerReplyBody,
  PeerRequester,
} from '@marigoldpost/peers';
import {ArchiveClient, type DiskId} from '@marigoldpost/turns';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';
import {createTokenRequest} from '../fixtures/turn_requests.js';

interface ClientWorld extends World {
  archiveClient: ArchiveClient;
}

/** Fails each request with an error of one kind. */
class FailingRequester extends PeerRequester {
  private constructor(private readonly kind: ErrorKind) {
    super();
  }

  static create(kind: ErrorKind): FailingRequester {
    return new FailingRequester(kind);
  }

  override ask(): Promise<PeerReplyBody> {
    return Promise.reject(MarigoldpostError.create(this.kind, 'failed'));
  }
}

const host = '127.0.0.1';
const clock = SystemClock.create();
const disk = toId<DiskId>('disk');
/** Exceeds the range of the field. */
const tooManyTokens = 10_000_000_000;

Given(
  'a client of an archive whose requests fail with {word}',
  function (this: ClientWorld, kind: ErrorKind) {
    startClient(this, FailingRequester.create(kind), 'http://127.0.0.1:1');
  },
);

Given(
  'a client of an archive over a real connection',
  async function (this: ClientWorld) {
    const [sender, archive] = ['entry', 'archive'].map((name) =>
      MessageTransport.create({
        daemon: toId<DaemonId>(name),
        host,
        port: 0,
        clock,
      }),
    ) as [MessageTransport, MessageTransport];
    const status = create(ArchiveStatusSchema, {disk, isComplete: true});
    await archive.start(() =>
      Promise.resolve({
        case: 'foundTurns',
        value: create(FoundTurnsSchema, {status}),
      }),
    );
    for (const transport of [sender, archive]) {
      addCleanup(this, () => Promise.resolve(transport.stop()));
    }
    startClient(this, sender, archive.getAddress().address);
  },
);

When('a request to the archive fails', async function (this: ClientWorld) {
  await assert.rejects(this.archiveClient.findTurns([]));
});

When(
  'the client sends a reservation that cannot be encoded',
  async function (this: ClientWorld) {
    const request = createTokenRequest('attempt', tooManyTokens, 1, 'a');
    const reservation = {...request, isForced: false, counter: ''};
    const reserved = this.archiveClient.reserve(reservation, new Set(), 1);
    await reserved.catch(() => undefined);
  },
);

Then(
  /^the archive is (reachable|unreachable)$/,
  function (this: ClientWorld, state: string) {
    assert.equal(this.archiveClient.isReachable, state === 'reachable');
  },
);

Then(
  'the archive replies to another request',
  async function (this: ClientWorld) {
    const reply = await this.archiveClient.findTurns([]);
    assert.equal(reply.disk, disk);
  },
);

function startClient(
  world: ClientWorld,
  transport: PeerRequester,
  address: string,
): void {
  const controller = new AbortController();
  addCleanup(world, () => Promise.resolve(controller.abort()));
  world.archiveClient = ArchiveClient.create({
    member: {
      daemon: toId<DaemonId>('archive'),
      address,
      dataCentre: toId<DataCentreId>('a'),
      disk,
    },
    transport,
    clock,
    signal: controller.signal,
  });
}

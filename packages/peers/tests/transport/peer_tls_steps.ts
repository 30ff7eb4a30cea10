/** Steps for mutual TLS between daemons. */
import assert from 'node:assert/strict';
import {copyFile, mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {After, Given, Then, When, type World} from '@cucumber/cucumber';
import {type DaemonId, toId, VirtualClock} from '@marigoldpost/common';
import {
  ConnectPeerTransport,
  isConnectionRefused,
  type PeerTlsFiles,
} from '@marigoldpost/peers';
import {createNumberReply, createNumberRequest} from './transport_fixture.js';

interface TlsWorld extends World {
  peerTlsClock: VirtualClock;
  peerTlsFolder: string | undefined;
  peerTlsServer: ConnectPeerTransport;
  peerTlsClient: ConnectPeerTransport;
  handledRequests: number;
  failure: unknown;
}

const certificates = 'packages/peers/tests/transport/certificates';
const options = {timeoutMs: 10_000};
const fileCheckMs = 5000;
const maxTries = 200;

After(async function (this: TlsWorld) {
  await this.peerTlsClient?.stop();
  await this.peerTlsServer?.stop();
  if (this.peerTlsFolder === undefined) return;
  await rm(this.peerTlsFolder, {recursive: true, force: true});
});

function getFiles(folder: string): PeerTlsFiles {
  return {
    certificatePath: join(folder, 'certificate.pem'),
    keyPath: join(folder, 'key.pem'),
    authorityPath: join(folder, 'authority.pem'),
  };
}

async function copyCertificate(name: string, folder: string): Promise<void> {
  const files = getFiles(folder);
  await copyFile(`${certificates}/${name}.pem`, files.certificatePath);
  await copyFile(`${certificates}/${name}_key.pem`, files.keyPath);
}

async function startTransport(
  world: TlsWorld,
  name: string,
  tls: PeerTlsFiles,
): Promise<ConnectPeerTransport> {
  const transport = ConnectPeerTransport.create({
    daemon: toId<DaemonId>(name),
    host: '127.0.0.1',
    port: 0,
    clock: world.peerTlsClock,
    tls,
  });
  await transport.start();
  return transport;
}

Given(
  'a TLS peer with certificate {string} of {string}',
  async function (this: TlsWorld, certificate: string, authority: string) {
    this.peerTlsClock = VirtualClock.create();
    this.handledRequests = 0;
    const folder = await mkdtemp(join(tmpdir(), 'peer-tls-'));
    this.peerTlsFolder = folder;
    await copyCertificate(certificate, folder);
    const files = getFiles(folder);
    await copyFile(`${certificates}/${authority}.pem`, files.authorityPath);
    this.peerTlsServer = await startTransport(this, 'server', files);
    const countHandled = () => (this.handledRequests += 1);
    this.peerTlsServer.setHandler(async function* () {
      yield createNumberReply(countHandled());
    });
  },
);

Given(
  'a daemon with certificate {string} of {string} asks the TLS peer',
  async function (this: TlsWorld, certificate: string, authority: string) {
    this.peerTlsClient = await startTransport(this, 'client', {
      certificatePath: `${certificates}/${certificate}.pem`,
      keyPath: `${certificates}/${certificate}_key.pem`,
      authorityPath: `${certificates}/${authority}.pem`,
    });
    this.failure = await ask(this);
  },
);

When(
  'the files of the TLS peer are replaced by certificate {string}',
  async function (this: TlsWorld, certificate: string) {
    assert.ok(this.failure instanceof Error);
    assert.ok(this.peerTlsFolder);
    await copyCertificate(certificate, this.peerTlsFolder);
  },
);

Then('the TLS peer has answered', function (this: TlsWorld) {
  assert.equal(this.failure, undefined);
  assert.equal(this.handledRequests, 1);
});

Then(
  'the TLS peer has not handled the request, and the request fails',
  function (this: TlsWorld) {
    assert.ok(this.failure instanceof Error);
    assert.equal(isConnectionRefused(this.failure), false);
    assert.equal(this.handledRequests, 0);
  },
);

Then(
  "the daemon's requests to the TLS peer succeed again",
  {timeout: 30_000},
  async function (this: TlsWorld) {
    for (let tries = 0; tries < maxTries && this.failure; tries++) {
      await this.peerTlsClock.advance(fileCheckMs);
      this.failure = await ask(this);
    }
    assert.equal(this.failure, undefined);
  },
);

/** Sends one request; returns the error, or `undefined` on success. */
async function ask({peerTlsClient, peerTlsServer}: TlsWorld): Promise<unknown> {
  try {
    const request = createNumberRequest(0);
    await peerTlsClient.ask(peerTlsServer.getAddress(), request, options);
    return undefined;
  } catch (error) {
    return error;
  }
}

/** Steps for TLS connections of callers. */
import assert from 'node:assert/strict';
import {copyFile, mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {connect} from 'node:tls';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Deferred} from '@marigoldpost/common';
import {EntryFixture} from '../fixtures/entry_fixture.js';
import type {EntryWorld} from '../fixtures/entry_world.js';

interface TlsWorld extends EntryWorld {
  tlsFolder: string | undefined;
}

const source = 'packages/entry/tests/fixtures/tls';
const checkIntervalMs = 5000;

async function copyCertificate(folder: string, name: string): Promise<void> {
  await copyFile(`${source}/${name}.key.pem`, join(folder, 'key.pem'));
  await copyFile(`${source}/${name}.cert.pem`, join(folder, 'cert.pem'));
}

/** Advances to the next check of the files and waits for its log event. */
async function waitForFileCheck(
  {fixture}: TlsWorld,
  event: string,
): Promise<void> {
  const isEvent = (line: string) => line.includes(`"name":"${event}"`);
  const count = () => fixture.logLines.filter(isEvent).length;
  const before = count();
  await fixture.clock.advance(checkIntervalMs);
  while (count() === before) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  // The server schedules the next check only after it has logged this one.
  await new Promise((resolve) => setImmediate(resolve));
}

function getSubject(port: number): Promise<string> {
  const subject = Deferred.create<string>();
  const options = {port, host: '127.0.0.1', rejectUnauthorized: false};
  const socket = connect(options, () => {
    subject.resolve(String(socket.getPeerCertificate().subject.CN));
    socket.destroy();
  });
  socket.on('error', (error) => subject.reject(error));
  return subject.promise;
}

Given(
  'a caller server with the {string} certificate',
  async function (this: TlsWorld, name: string) {
    const folder = await mkdtemp(join(tmpdir(), 'marigoldpost-tls-'));
    this.tlsFolder = folder;
    await copyCertificate(folder, name);
    const certificatePath = join(folder, 'cert.pem');
    this.fixture = await EntryFixture.start({
      tls: {
        certificatePath,
        keyPath: join(folder, 'key.pem'),
        authorityPath: certificatePath,
      },
    });
  },
);

When(
  'the TLS files are replaced by those of the {string} certificate',
  async function (this: TlsWorld, name: string) {
    await copyCertificate(this.tlsFolder ?? '', name);
    await waitForFileCheck(this, 'tls_reloaded');
  },
);

When('the certificate file becomes invalid', async function (this: TlsWorld) {
  await writeFile(join(this.tlsFolder ?? '', 'cert.pem'), 'broken');
  await waitForFileCheck(this, 'tls_reload_failed');
});

Then(
  'a caller receives the {string} certificate',
  async function (this: TlsWorld, name: string) {
    assert.equal(await getSubject(this.fixture.server.port), name);
  },
);

After(async function (this: TlsWorld) {
  if (this.tlsFolder !== undefined) {
    await rm(this.tlsFolder, {recursive: true});
  }
});

/** Steps for sound targets that send nothing for a while. */
import assert from 'node:assert/strict';
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type CallId,
  type DataCentreId,
  type Fingerprint,
  type ModelId,
  type ProgramId,
  SystemClock,
  type TargetId,
  toId,
} from '@marigoldpost/common';
import {parseOperatorsText} from '@marigoldpost/settings';
import {MemoryVmList} from '@marigoldpost/standins';
import {
  type EngineRequest,
  type TargetDeath,
  TargetRegistry,
} from '@marigoldpost/targets';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';
import {createHistoryConfig} from '../fixtures/history_config.js';

interface SilentWorld extends World {
  target: TargetId;
  registry: TargetRegistry;
  states: Set<string>;
  deaths: TargetDeath[];
  /** Tokens of an engine's stream, or the body of a plain service. */
  received: string;
  durationMs: number;
}

const dataCentre = toId<DataCentreId>('cat-lai');
const whole = 'crane 4 is free';
const listingMs = 1500;
const load = {
  running: 0,
  waiting: 0,
  usedBlocks: 0,
  totalBlocks: 100,
  models: ['planner'],
};
const engineRequest: EngineRequest = {
  streamId: 'stream-1',
  model: toId<ModelId>('planner'),
  program: toId<ProgramId>('cat-lai.0.abc'),
  messages: [],
  maxTokens: 10,
  offsetTokens: 0,
  isResumeOnly: false,
};

/** A server that sends nothing on any connection while it is silent. */
class SilentServer {
  private silence: Promise<void> = Promise.resolve();

  constructor(
    private readonly silentMs: number,
    private readonly place: string,
  ) {}

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    request.resume();
    if (request.url === '/v1/load') {
      await this.silence;
      response.end(JSON.stringify(load));
    } else if (request.url?.startsWith('/v1/cache-events')) {
      await this.silence;
      response.end('{"events":[],"floorSequence":1}');
    } else if (request.url?.startsWith('/v1/streams')) {
      await this.sendStream(response);
    } else {
      await this.pauseAfter('the request');
      response.setHeader('Content-Length', Buffer.byteLength(whole));
      response.flushHeaders();
      await this.pauseAfter('the head');
      response.end(whole);
    }
  }

  private async sendStream(response: ServerResponse): Promise<void> {
    await this.pauseAfter('the request');
    response.setHeader('Content-Type', 'text/event-stream');
    response.flushHeaders();
    await this.pauseAfter('the head');
    const texts = whole.split(' ');
    for (const [index, text] of texts.entries()) {
      response.write(`data: ${JSON.stringify({index, text})}\n\n`);
      if (index === 0) await this.pauseAfter('an event');
    }
    const end = {
      finishReason: 'stop',
      promptTokens: 1,
      cachedTokens: 0,
      completionTokens: texts.length,
    };
    response.end(`event: end\ndata: ${JSON.stringify(end)}\n\n`);
  }

  private pauseAfter(place: string): Promise<void> {
    if (place === this.place) this.silence = sleep(this.silentMs);
    return this.silence;
  }
}

Given(
  /^a registry with a "(engine|plain service)" that sends nothing for (\d+) ms after (.+)$/,
  async function (
    this: SilentWorld,
    kind: string,
    silentMs: string,
    place: string,
  ) {
    const silent = new SilentServer(Number(silentMs), place);
    const server = createServer(
      (request, response) => void silent.handle(request, response),
    );
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    const prefix = kind === 'engine' ? 'plan-models' : 'quay-ops';
    this.target = toId<TargetId>(`${prefix}-1`);
    const clock = SystemClock.create();
    const vmList = MemoryVmList.create({clock, lagMs: 0});
    const address = `http://127.0.0.1:${port}`;
    vmList.setVm({name: this.target, dataCentre, address, state: 'live'});
    this.registry = TargetRegistry.create({clock, vmList, dataCentre});
    addCleanup(this, async () => {
      await this.registry.stop();
      server.closeAllConnections();
      server.close();
    });
    this.states = new Set();
    this.deaths = [];
    this.registry.addListener({
      onTargetsChanged: (targets) => {
        for (const {state} of targets) this.states.add(state);
      },
      onTargetDied: (death) => this.deaths.push(death),
    });
    this.registry.setConfig(parseOperatorsText(createHistoryConfig(0)));
    await this.registry.start();
    // The polls of an engine run by now, so the silence meets them as well.
    await sleep(kind === 'engine' ? listingMs : 0);
  },
);

When(
  'a request is sent to the silent target',
  async function (this: SilentWorld) {
    const {registry, target} = this;
    const work = {
      target,
      callId: toId<CallId>('call-1'),
      fingerprint: toId<Fingerprint>('request-1'),
    };
    const startMs = Date.now();
    registry.recordStart(work);
    this.received = target.startsWith('plan-models')
      ? await readStream(registry, target)
      : await readPlainResponse(registry, target);
    registry.recordSuccess(work);
    this.durationMs = Date.now() - startMs;
  },
);

Then(
  'the response of the silent target is whole after at least {int} ms',
  function (this: SilentWorld, leastMs: number) {
    assert.equal(this.received, whole);
    assert.ok(this.durationMs >= leastMs - 5, `${this.durationMs} ms`);
  },
);

Then(
  'the registry kept the silent target open and saw no death',
  function (this: SilentWorld) {
    assert.deepEqual([...this.states], ['open']);
    assert.equal(this.registry.getTarget(this.target)?.isOpen, true);
    assert.deepEqual(this.deaths, []);
  },
);

async function readStream(
  registry: TargetRegistry,
  target: TargetId,
): Promise<string> {
  const engine = registry.getEngineClientOrThrow(target);
  const {signal} = new AbortController();
  const texts: string[] = [];
  for await (const event of engine.generate(engineRequest, signal)) {
    if (event.kind === 'end') return texts.join(' ');
    texts.push(event.text);
  }
  throw new Error('the stream has no end event');
}

async function readPlainResponse(
  registry: TargetRegistry,
  target: TargetId,
): Promise<string> {
  const {signal} = new AbortController();
  const request = {method: 'POST', path: '/book', headers: {}, body: 'crane 4'};
  const client = registry.getPlainClientOrThrow(target);
  const {status, body} = await client.send(request, signal);
  assert.equal(status, 200);
  return body;
}

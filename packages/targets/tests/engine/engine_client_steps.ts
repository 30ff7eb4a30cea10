/** Steps for the contract of `EngineClient`, in memory and over sockets. */
import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {isErrorOfKind} from '@marigoldpost/common';
import {
  type MemoryEngine,
  type MemoryEngineOptions,
  sendBlocks,
} from '@marigoldpost/standins';
import {HttpEngineClient} from '@marigoldpost/targets';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';
import {
  createEngineRequest,
  createEngineSetup,
  runUntilSettled,
  type EngineSetup,
  getRejection,
  ids,
  type StreamResult,
  readStream,
  timeoutMs,
  type Transport,
  waitUntil,
} from '../fixtures/target_fixtures.js';

interface EngineWorld extends World {
  setup: EngineSetup;
  results: StreamResult[];
  killAfterTokens?: number;
  rawClient: HttpEngineClient;
  secondSetup: EngineSetup;
}

const answerTokens = 40;
const getOutputTokens = () => answerTokens;

Given(
  'an engine over {word}',
  async function (this: EngineWorld, transport: Transport) {
    const sendBlocks = createSendBlocks(
      transport,
      () => this.secondSetup.engine,
    );
    const options = {getOutputTokens, sendBlocks};
    this.setup = await createEngineSetup(this, transport, options);
    this.results = [];
  },
);

Given(
  'an engine over {word} that {word} fencing numbers',
  async function (this: EngineWorld, transport: Transport, checks: string) {
    const checksFencing = checks === 'checks';
    this.setup = await createEngineSetup(this, transport, {checksFencing});
  },
);

Given(
  /^the engine will (truncate after 7 tokens|die after 7 tokens|crash on the content|refuse the model|be down)$/,
  async function (this: EngineWorld, fault: string) {
    const {engine, client} = this.setup;
    switch (fault) {
      case 'truncate after 7 tokens':
        engine.faults.addTruncations(7);
        break;
      case 'die after 7 tokens':
        this.killAfterTokens = 7;
        break;
      case 'crash on the content':
        engine.faults.setCrashText('Cai Mep');
        break;
      case 'refuse the model':
        await client.sendOrder({
          kind: 'unload_model',
          subject: ids.model,
          fencingNumber: 1,
        });
        break;
      default:
        engine.kill();
    }
  },
);

When("a client reads the engine's stream", async function (this: EngineWorld) {
  const {client, clock, engine} = this.setup;
  const reading = readStream(client, createEngineRequest());
  const {killAfterTokens} = this;
  if (killAfterTokens !== undefined) {
    await runUntilSettled(clock, waitUntilGenerated(engine, killAfterTokens));
    engine.kill();
  }
  this.results.push(await runUntilSettled(clock, reading));
});

When(
  "a client reads {int} tokens of the engine's stream and disconnects",
  async function (this: EngineWorld, tokens: number) {
    const {client, clock} = this.setup;
    const reading = readStream(client, createEngineRequest(), tokens);
    this.results.push(await runUntilSettled(clock, reading));
  },
);

When(
  "a client resumes the engine's stream at {int}",
  async function (this: EngineWorld, offsetTokens: number) {
    const {client, clock} = this.setup;
    const request = createEngineRequest({offsetTokens, isResumeOnly: true});
    this.results.push(
      await runUntilSettled(clock, readStream(client, request)),
    );
  },
);

When(
  'a client asks the engine to continue after {int} tokens of an answer prefix',
  async function (this: EngineWorld, given: number) {
    const {client, clock} = this.setup;
    const answerPrefix = Array.from({length: given}, () => ' pier');
    const request = createEngineRequest({answerPrefix, offsetTokens: given});
    this.results.push(
      await runUntilSettled(clock, readStream(client, request)),
    );
  },
);

When(
  "the program's cache is copied to a second engine over {word}",
  async function (this: EngineWorld, transport: Transport) {
    this.secondSetup = await createEngineSetup(this, transport, {
      getOutputTokens,
    });
    await this.setup.client.copyProgramCache(
      ids.program,
      this.secondSetup.address,
    );
  },
);

Then(
  'the second engine finds the prompt of the program in its cache',
  async function (this: EngineWorld) {
    const {client, clock} = this.secondSetup;
    const reading = readStream(client, createEngineRequest());
    const {end} = await runUntilSettled(clock, reading);
    assert.ok(end?.kind === 'end');
    assert.ok(end.cachedTokens > end.promptTokens / 2);
  },
);

When(
  'the engine hangs while a client reads its stream',
  async function (this: EngineWorld) {
    const {client, clientClock, engine} = this.setup;
    const reading = readStream(client, createEngineRequest());
    await waitUntil(() => engine.getStreams().length === 1);
    engine.faults.setHanging(true);
    const settled = runUntilSettled(clientClock, reading);
    await clientClock.advance(timeoutMs);
    this.results.push(await settled);
  },
);

When('the engine dies and restarts', async function (this: EngineWorld) {
  this.setup.engine.kill();
  await this.setup.restart();
});

When(
  "a client cancels the engine's stream and an unknown one",
  async function (this: EngineWorld) {
    await this.setup.client.cancelStream('stream-1');
    await this.setup.client.cancelStream('no-such-stream');
  },
);

When(
  'the engine gets orders with the fencing numbers 5, 4 and 6',
  async function (this: EngineWorld) {
    for (const fencingNumber of [5, 4, 6]) {
      const order = {
        kind: 'set_role',
        subject: 'decode',
        fencingNumber,
      } as const;
      const error = await getRejection(this.setup.client.sendOrder(order));
      assert.ok(error === undefined || isErrorOfKind(error, 'fenced'));
    }
  },
);

Then(
  "the engine's reader got {int} tokens in order and an end",
  function (this: EngineWorld, tokens: number) {
    assertTokens(this.results.at(-1), 0, tokens);
  },
);

Then(
  "the engine's reader got the tokens from {int} to {int} and an end",
  function (this: EngineWorld, first: number, last: number) {
    assertTokens(this.results.at(-1), first, last + 1);
  },
);

Then(
  "the engine's reader got at most {int} tokens and the error {word} with outcome {word}",
  function (this: EngineWorld, tokens: number, kind: string, outcome: string) {
    const reading = this.results.at(-1);
    assert.ok(isErrorOfKind(reading?.error), String(reading?.error));
    assert.equal(reading.error.kind, kind);
    assert.equal(reading.error.outcome, outcome);
    assert.ok(reading.texts.length <= tokens);
    assert.deepEqual(reading.indexes, [...reading.texts.keys()]);
  },
);

Then(
  "the engine's reader got the error target_timeout",
  function (this: EngineWorld) {
    assert.ok(isErrorOfKind(this.results.at(-1)?.error, 'target_timeout'));
  },
);

Then(
  /^the engine saw 1 (complete|cancelled) generation$/,
  function (this: EngineWorld, state: string) {
    const streams = this.setup.engine.getStreams();
    assert.equal(streams.length, 1);
    assert.equal(streams[0]?.isComplete, state === 'complete');
    assert.equal(streams[0]?.isCancelled, state === 'cancelled');
  },
);

Then(
  'both readings of the engine form one answer of {int} tokens',
  async function (this: EngineWorld, tokens: number) {
    const [first, second] = this.results;
    assertTokens(second, first?.texts.length ?? 0, tokens);
    const {client, clock} = this.setup;
    const whole = await runUntilSettled(
      clock,
      readStream(client, createEngineRequest()),
    );
    const joined = [...(first?.texts ?? []), ...(second?.texts ?? [])];
    assert.deepEqual(joined, whole.texts);
  },
);

Then(
  "the engine's cache events report stored blocks",
  async function (this: EngineWorld) {
    const {events} = await this.setup.client.getCacheEvents(0);
    assert.ok(events.some(({kind}) => kind === 'stored'));
  },
);

Then(
  'releasing the program at the engine empties its cache',
  async function (this: EngineWorld) {
    const {client, engine} = this.setup;
    await client.releaseProgram(ids.program);
    await client.releaseProgram(ids.program);
    assert.equal((await client.getLoad()).usedBlocks, 0);
    assert.deepEqual(engine.getReleasedPrograms(), [ids.program, ids.program]);
  },
);

Then(
  'the engine executed the orders {word}',
  function (this: EngineWorld, expected: string) {
    const numbers = this.setup.engine.getOrders().map((o) => o.fencingNumber);
    assert.equal(numbers.join(','), expected);
  },
);

Given(
  /^an engine that sends the raw stream (.*)$/,
  async function (this: EngineWorld, script: string) {
    const body = script.split(' ').map(toRawEvent).join('');
    const server = createServer((incoming, response) => {
      incoming.resume();
      response.writeHead(200, {'content-type': 'text/event-stream'});
      response.end(body);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    const address = `http://127.0.0.1:${port}`;
    const {target} = ids;
    const client = HttpEngineClient.create({target, address, timeoutMs});
    this.rawClient = client;
    addCleanup(this, async () => {
      server.close();
      server.closeAllConnections();
      await client.close();
    });
  },
);

When('a client reads the raw stream', async function (this: EngineWorld) {
  this.results = [await readStream(this.rawClient, createEngineRequest())];
});

Then(
  "the raw stream's reader got {word} and the error {word}",
  function (this: EngineWorld, texts: string, kind: string) {
    const [reading] = this.results;
    const {error} = reading ?? {};
    assert.equal(reading?.texts.join(''), texts);
    assert.equal(isErrorOfKind(error) ? error.kind : 'none', kind);
    assert.equal(reading?.end === undefined, kind !== 'none');
  },
);

/** Creates the function that copies blocks to the second engine. */
function createSendBlocks(
  transport: Transport,
  getSecond: () => MemoryEngine,
): MemoryEngineOptions['sendBlocks'] {
  if (transport === 'socket') return sendBlocks;
  return (_address, program, blockHashes) => {
    getSecond().importProgram(program, blockHashes);
    return Promise.resolve();
  };
}

/** Waits until an engine's first generation has a number of tokens. */
function waitUntilGenerated(
  engine: MemoryEngine,
  tokens: number,
): Promise<void> {
  return waitUntil(() => {
    const [stream] = engine.getStreams();
    return (stream?.generatedTokens ?? 0) >= tokens;
  });
}

function assertTokens(
  reading: StreamResult | undefined,
  first: number,
  end: number,
): void {
  const expected = Array.from({length: end - first}, (_u, i) => first + i);
  assert.equal(reading?.error, undefined);
  assert.deepEqual(reading?.indexes, expected);
  assert.equal(reading?.end?.kind, 'end');
  assert.ok(reading?.end?.kind === 'end');
  assert.equal(reading.end.completionTokens, end);
}

/**
 * Converts a script word to a raw event: `0a` is token 0 with text `a`, `end2`
 * ends an answer of two tokens.
 */
function toRawEvent(word: string): string {
  if (word === 'bad') return 'data: {"index":\n\n';
  if (word === 'endless') return 'event: end\ndata: {}\n\n';
  if (!word.startsWith('end')) {
    const data = {index: Number(word[0]), text: word.slice(1)};
    return `data: ${JSON.stringify(data)}\n\n`;
  }
  const end = {
    finishReason: 'stop',
    promptTokens: 1,
    cachedTokens: 0,
    completionTokens: Number(word.slice('end'.length)),
  };
  return `event: end\ndata: ${JSON.stringify(end)}\n\n`;
}

/** Steps that check the responses that callers receive. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Then} from '@cucumber/cucumber';
import {Deferred, errorDefinitions, isErrorKind} from '@marigoldpost/common';
import fc from 'fast-check';
import {createChatRequest} from '../fixtures/entry_fixture.js';
import {
  answerTokens,
  type EntryWorld,
  type ErrorJson,
  plannersHeaders,
} from '../fixtures/entry_world.js';
import {createResponseScript, knownProgram} from '../fixtures/fake_gateway.js';

interface Chunk {
  choices: {delta: {content?: string}; finish_reason: string | null}[];
}

const seed = 20261203;
const maxWaitMs = 2000;

Then(
  'the caller receives the complete completion and its program id',
  function (this: EntryWorld) {
    const {status, headers, text} = this.answer;
    assert.equal(status, 200);
    assert.equal(headers['marigoldpost-program'], knownProgram);
    const body = JSON.parse(text) as Record<string, unknown>;
    assert.equal(body['object'], 'chat.completion');
    assert.equal(body['model'], 'gate-assistant-8b');
    const message = {role: 'assistant', content: answerTokens.join('')};
    assert.deepEqual(body['choices'], [
      {index: 0, message, finish_reason: 'stop'},
    ]);
    assert.deepEqual(body['usage'], {
      prompt_tokens: 9,
      completion_tokens: 4,
      total_tokens: 13,
      prompt_tokens_details: {cached_tokens: 4},
    });
  },
);

Then(
  "the caller's stream has tokens {int} to {int}, a finish reason and a done event",
  function (this: EntryWorld, first: number, last: number) {
    const events = this.answer.text.split('\n\n').slice(0, -1);
    assert.equal(events.at(-1), 'data: [DONE]');
    const ids = events.flatMap(
      (event) => /^id: (\d+)$/m.exec(event)?.[1] ?? [],
    );
    const expected = answerTokens.map((_text, index) => index);
    assert.deepEqual(ids.map(Number), expected.slice(first, last + 1));
    const chunks = events
      .slice(0, -1)
      .map((event) => JSON.parse(event.replace(/^[^{]*/, '')) as Chunk);
    const texts = chunks.map(({choices}) => choices[0]?.delta.content ?? '');
    assert.equal(texts.join(''), answerTokens.slice(first, last + 1).join(''));
    assert.equal(chunks.at(-1)?.choices[0]?.finish_reason, 'stop');
    const program = this.answer.headers['marigoldpost-program'];
    assert.equal(program, knownProgram);
  },
);

Then(
  'the gateway received the call with offset {int} and idempotency key {string}',
  function (this: EntryWorld, offset: number, key: string) {
    const call = this.fixture.gateway.calls[0];
    assert.ok(call?.kind === 'chat');
    assert.equal(call.offsetTokens, offset);
    assert.equal(call.idempotencyKey, key);
  },
);

Then(
  'the caller receives error {int} {string} with outcome {string}',
  function (this: EntryWorld, status: number, kind: string, outcome: string) {
    const {error} = JSON.parse(this.answer.text) as ErrorJson;
    assert.equal(error.kind, kind);
    assert.equal(error.outcome, outcome);
    assert.equal(this.answer.status, status);
    assert.ok(error.message.length > 0);
  },
);

Then(
  'the error includes a retry delay: {string}',
  function (this: EntryWorld, retry: string) {
    const {error} = JSON.parse(this.answer.text) as ErrorJson;
    const hasRetryAfter = this.answer.headers['retry-after'] !== undefined;
    assert.equal(hasRetryAfter, retry === 'yes');
    assert.equal(error.retry_after_ms !== null, retry === 'yes');
  },
);

Then(
  "the caller's stream ends with an error of kind {string} and no done event",
  function (this: EntryWorld, kind: string) {
    const {text} = this.answer;
    assert.ok(!text.includes('[DONE]'));
    assert.ok(!text.includes('"finish_reason":"stop"'));
    const last = text.split('\n\n').at(-2) ?? '';
    assert.ok(last.startsWith('event: error\ndata: '), last);
    const data = last.slice('event: error\ndata: '.length);
    assert.equal((JSON.parse(data) as ErrorJson).error.kind, kind);
  },
);

Then('the gateway received no request', function (this: EntryWorld) {
  assert.equal(this.fixture.gateway.calls.length, 0);
  assert.equal(this.fixture.gateway.programRequests.length, 0);
});

Then(
  'the gateway received a call for model {string} of service {string}',
  function (this: EntryWorld, model: string, service: string) {
    const call = this.fixture.gateway.calls[0];
    assert.ok(call?.kind === 'chat');
    assert.equal(call.model, model);
    assert.equal(call.service, service);
  },
);

Then(
  "the gateway received {string} {string} for service {string} without the caller's API key",
  function (this: EntryWorld, method: string, path: string, service: string) {
    const call = this.fixture.gateway.calls[0];
    assert.ok(call?.kind === 'plain');
    assert.equal(call.service, service);
    assert.equal(call.request.method, method);
    assert.equal(call.request.path, path);
    assert.equal(call.request.headers['x-shift'], 'night');
    assert.equal(call.request.headers['authorization'], undefined);
    assert.equal(call.request.headers['host'], undefined);
  },
);

Then(
  "the caller receives the service's own response",
  function (this: EntryWorld) {
    const {status, headers, text} = this.answer;
    assert.equal(status, 201);
    assert.equal(text, 'did crane 4');
    assert.equal(headers['content-type'], 'text/plain');
    assert.equal(headers['marigoldpost-outcome'], 'ran');
    assert.equal(headers['marigoldpost-program'], knownProgram);
  },
);

Then(
  'programs are opened with budgets, shown, read and ended over HTTP',
  async function (this: EntryWorld) {
    const {fixture} = this;
    const send = (method: string, path: string, body?: string) =>
      fixture.send({method, path, headers: plannersHeaders, body});
    const budget = {max_calls: 7};
    const body = JSON.stringify({budget, parent: knownProgram});
    const opened = await send('POST', '/v1/programs', body);
    assert.equal(opened.status, 201);
    const {programRequests} = fixture.gateway;
    assert.equal(programRequests[0]?.budget.maxCalls, 7);
    assert.equal(programRequests[0]?.budget.maxTokens, 2_000_000);
    assert.equal(programRequests[0]?.parent, knownProgram);
    const path = `/v1/programs/${knownProgram}`;
    const shown = await send('GET', path);
    assert.match(shown.text, /"state":"open"/);
    const history = await send('GET', `${path}/history`);
    assert.match(history.text, /"content":"hello"/);
    const ended = await send('DELETE', path);
    assert.match(ended.text, /"state":"ended"/);
    const unknown = await send('GET', '/v1/programs/cat-lai.3.other');
    assert.equal(unknown.status, 404);
  },
);

Then("the gateway's signal is aborted", async function (this: EntryWorld) {
  const signal = this.fixture.gateway.lastSignal;
  assert.ok(signal !== undefined);
  const aborted = Deferred.create<void>();
  if (signal.aborted) aborted.resolve();
  signal.addEventListener('abort', () => aborted.resolve());
  await aborted.promise;
});

Then('no request is in flight', async function (this: EntryWorld) {
  const {server} = this.fixture;
  const endMs = Date.now() + maxWaitMs;
  while (server.inFlight > 0 && Date.now() < endMs) await sleep(1);
  assert.equal(server.inFlight, 0);
});

Then(
  "only a part of the gateway's stream has been read",
  function (this: EntryWorld) {
    assert.ok(
      this.pulledTokens > 0 && this.pulledTokens < 64,
      String(this.pulledTokens),
    );
  },
);

Then(
  'a caller that still reads no data is disconnected after {int} s',
  async function (this: EntryWorld, seconds: number) {
    const {gateway, clock} = this.fixture;
    assert.equal(gateway.lastSignal?.aborted, false);
    await clock.advance(seconds * 1000);
    await assert.rejects(this.open.body.text());
    assert.equal(gateway.lastSignal?.aborted, true);
  },
);

Then(
  'the caller server refuses connections',
  async function (this: EntryWorld) {
    await assert.rejects(this.fixture.send(createChatRequest()));
  },
);

Then(
  'health is ok, readiness follows the gateway and metrics are exposed',
  async function (this: EntryWorld) {
    const {fixture} = this;
    const get = (path: string) => fixture.send({method: 'GET', path});
    assert.equal((await get('/healthz')).status, 200);
    assert.equal((await get('/readyz')).status, 200);
    fixture.gateway.isOpen = false;
    assert.equal((await get('/readyz')).status, 503);
    const {text} = await get('/metrics');
    assert.match(text, /^marigoldpost_calls_in_flight 1$/m);
    await fixture.send(createChatRequest());
    const after = (await get('/metrics')).text;
    const counted =
      /^marigoldpost_cached_tokens_total\{service="plan-models"\} 4$/m;
    assert.match(after, counted);
  },
);

Then(
  'each log line has a request id and none contains a key or content',
  function (this: EntryWorld) {
    const {logLines} = this.fixture;
    assert.ok(logLines.length >= 3);
    for (const line of logLines) {
      const {requestId} = JSON.parse(line) as {requestId?: string};
      assert.ok(requestId !== undefined && requestId.length > 0);
      assert.ok(!/example-key|Crane|crane 4/.test(line), line);
    }
    const finished = logLines.filter((line) => line.includes('call_finished'));
    assert.match(finished[0] ?? '', new RegExp(`"program":"${knownProgram}"`));
  },
);

Then(
  'random headers and bodies are served or rejected with a listed error kind',
  async function (this: EntryWorld) {
    const {fixture} = this;
    fixture.gateway.script = createResponseScript(answerTokens);
    const printable = fc.string({maxLength: 40});
    const message = fc.record({
      role: fc.constantFrom('user', 'system', 'pirate'),
      content: fc.oneof(printable, fc.integer()),
    });
    const body = fc.oneof(
      printable,
      fc.json(),
      fc
        .record({
          model: fc.constantFrom('gate-assistant-8b', 'x', 'plan-models/x'),
          messages: fc.array(message, {maxLength: 3}),
          stream: fc.oneof(fc.boolean(), printable),
          max_tokens: fc.oneof(fc.integer(), fc.double()),
        })
        .map((value) => JSON.stringify(value)),
    );
    const property = fc.asyncProperty(
      fc.constantFrom('planners', 'gate-staff', 'night-planners', 'nobody'),
      fc.dictionary(
        fc.constantFrom(
          'idempotency-key',
          'last-event-id',
          'marigoldpost-program',
          'marigoldpost-timeout-ms',
        ),
        printable.filter((text) => /^[\x21-\x7e]*$/.test(text)),
      ),
      body,
      async (team, headers, text) => {
        const sent = createChatRequest({}, headers, team);
        const answer = await fixture.send({...sent, body: text});
        if (answer.status === 200) return;
        const {kind} = (JSON.parse(answer.text) as ErrorJson).error;
        assert.ok(isErrorKind(kind));
        assert.notEqual(kind, 'internal');
        assert.equal(answer.status, errorDefinitions[kind].status);
      },
    );
    await fc.assert(property, {seed, numRuns: 150});
  },
);

Then(
  "the caller's response ends with its connection only",
  function (this: EntryWorld) {
    const {status, headers, text} = this.answer;
    assert.equal(status, 201);
    assert.equal(text, 'did crane 4');
    assert.equal(headers['content-length'], undefined);
    assert.equal(headers['transfer-encoding'], undefined);
    assert.equal(headers.connection, 'close');
  },
);

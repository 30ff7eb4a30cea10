/**
 * Measures how long an archive takes to recover from a log that holds the turns
 * of one minute: `node tools/time_recovery.js TURNS BYTES_PER_TURN`.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {SeededRandom, SystemClock} from '@marigoldpost/common';
import {Archive, DiskLogFolder} from '@marigoldpost/turns';

const [turns, bytesPerTurn] = process.argv.slice(2).map(Number);
if (!Number.isInteger(turns) || !Number.isInteger(bytesPerTurn)) {
  throw new Error('expected two integers: TURNS BYTES_PER_TURN');
}

const clock = SystemClock.create();
const random = SeededRandom.create(1);
const batchTurns = 100;

function openArchive(folder) {
  return Archive.open({folder, clock, random});
}

function createTurn(number) {
  return {
    id: `turn-${number}`,
    previous: number % 5 === 0 ? undefined : `turn-${number - 1}`,
    program: `program-${Math.floor(number / 5)}`,
    home: 'north',
    input: Buffer.alloc(bytesPerTurn, 'x'),
    output: Buffer.alloc(0),
    tokens: 100,
    retentionMs: 60_000,
    target: 'engine',
    prompt: [{id: 'part', tokens: 1000}],
    disks: ['disk-a', 'disk-b'],
  };
}

async function writeTurns(archive) {
  for (let first = 0; first < turns; first += batchTurns) {
    const numbers = Array.from({length: batchTurns}, (_, i) => first + i);
    await Promise.all(
      numbers.map((number) =>
        archive.reserve({
          program: `program-${Math.floor(number / 5)}`,
          attempt: `turn-${number}`,
          tokens: 200,
          budgetTokens: 1_000_000,
          isForced: false,
        }),
      ),
    );
    await archive.storeTurns(numbers.map(createTurn));
  }
}

const root = await mkdtemp(path.join(tmpdir(), 'marigoldpost-recovery-'));
try {
  const folder = await DiskLogFolder.create(root);
  const archive = await openArchive(folder);
  await writeTurns(archive);
  archive.close();
  const startMs = clock.nowMs();
  const reopened = await openArchive(folder);
  const elapsedMs = Math.round(clock.nowMs() - startMs);
  console.log(`${reopened.turnCount} turns read in ${elapsedMs} ms`);
  reopened.close();
} finally {
  await rm(root, {recursive: true, force: true});
}

/** Runs commands for the steps of the command line. */
import type {World} from '@cucumber/cucumber';
import {run as runOclif} from '@oclif/core';
import type {OperationsFixture} from '../../../operations/tests/fixtures/operations_fixture.js';

/** State that the steps of one scenario share. */
export interface CommandWorld extends World {
  commandServer: OperationsFixture | undefined;
  commandFolder: string | undefined;
  commandFile: string;
  exitCode: number;
  stdout: string;
  stderr: string;
}

/**
 * Runs a command within this process, which takes a tenth of the time of a
 * process of its own.
 */
export async function runCommand(
  world: CommandWorld,
  args: readonly string[],
  environment: Record<string, string> = {},
): Promise<void> {
  const streams = [process.stdout, process.stderr];
  const writes = streams.map((stream) => stream.write);
  const captured = ['', ''];
  const previousEnvironment = {...process.env};
  const previousExitCode = process.exitCode;
  process.exitCode = 0;
  Object.assign(process.env, environment);
  streams.forEach((stream, index) => {
    stream.write = (chunk: Uint8Array | string) => {
      captured[index] += String(chunk);
      return true;
    };
  });
  try {
    await runOclif([...args], {root: 'packages/cli'});
    world.exitCode = Number(process.exitCode);
  } catch (error) {
    const {message, oclif} = error as Error & {oclif?: {exit?: number}};
    world.exitCode = oclif?.exit ?? 1;
    captured[1] += message;
  } finally {
    streams.forEach((stream, index) => {
      stream.write = writes[index] as typeof stream.write;
    });
    process.env = previousEnvironment;
    process.exitCode = previousExitCode;
  }
  [world.stdout, world.stderr] = captured as [string, string];
}

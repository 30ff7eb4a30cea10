/** Runs `marigoldpost serve` as a process of its own. */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream, type WriteStream} from 'node:fs';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {endWithParent} from '../../../../platform/tests/soak/child_processes.js';

const program = path.resolve('packages/cli/bin/marigoldpost.js');

/** Folder, settings and arguments of a process. */
export interface ServeProcessOptions {
  /** Folder of the settings and the log. */
  readonly folder: string;
  /** INI text. */
  readonly settings: string;
  /** Arguments for Node.js. */
  readonly execArgs: readonly string[];
}

/** A daemon that the command line runs. */
export class ServeProcess {
  /** Exit code; `null` if a signal ended it. */
  exitCode: number | null | undefined;
  private readonly log: WriteStream;

  private constructor(
    folder: string,
    private readonly child: ChildProcess,
  ) {
    this.log = createWriteStream(path.join(folder, 'log'));
    child.stdout?.pipe(this.log, {end: false});
    child.stderr?.pipe(this.log, {end: false});
    child.once('exit', (code) => {
      this.exitCode = code;
    });
  }

  /** Writes the settings and starts the process. */
  static async start({
    folder,
    settings,
    execArgs,
  }: ServeProcessOptions): Promise<ServeProcess> {
    const file = path.join(folder, 'daemon.ini');
    await writeFile(file, settings);
    const args = [...execArgs, program, 'serve', '--settings', file];
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    endWithParent(child);
    return new ServeProcess(folder, child);
  }

  get isRunning(): boolean {
    return this.exitCode === undefined;
  }

  /** Id of the process; `undefined` if it has ended. */
  get pid(): number | undefined {
    return this.isRunning ? this.child.pid : undefined;
  }

  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Kills the process and closes its log. */
  async stop(): Promise<void> {
    if (this.isRunning) {
      const ended = once(this.child, 'exit');
      this.child.kill('SIGKILL');
      await ended;
    }
    this.log.end();
  }
}

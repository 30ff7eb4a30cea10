/** The `serve` command. */
import {parseDaemonSettings} from '@marigoldpost/settings';
import {Flags} from '@oclif/core';
import {readText} from '../utils/read_text.js';
import {BaseCommand} from './base_command.js';

const stopSignals = ['SIGTERM', 'SIGINT'] as const;

/** Runs one daemon until SIGTERM or SIGINT, then drains it. */
export class Serve extends BaseCommand {
  static override summary = 'Run a daemon until SIGTERM or SIGINT, then drain';
  static override enableJsonFlag = false;
  static override flags = {
    settings: Flags.string({
      description: "Path of the daemon's settings file",
      required: true,
    }),
  };

  async run(): Promise<void> {
    const {flags} = await this.parse(Serve);
    const settings = parseDaemonSettings(await readText(flags.settings));
    // Loaded on demand, because the other commands start faster without it.
    const {Daemon} = await import('@marigoldpost/daemon');
    const daemon = Daemon.create(settings);
    const stopped = waitForStopSignal();
    await daemon.start();
    await stopped;
    await daemon.drain();
  }
}

function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of stopSignals) process.once(signal, () => resolve());
  });
}

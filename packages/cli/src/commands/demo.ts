/** `demo`. */
import {BaseCommand} from './base_command.js';

const brokenExitCode = 1;

/** Runs both example deployments under faults. */
export class Demo extends BaseCommand {
  static override summary =
    'Run both example deployments with stand-ins, faults and a verdict';
  static override enableJsonFlag = false;

  async run(): Promise<void> {
    // Loaded here, since the other commands start faster without it.
    const {runDemo} = await import('../demo/demo.js');
    const {isClean} = await runDemo((line) => this.log(line));
    this.exit(isClean ? 0 : brokenExitCode);
  }
}

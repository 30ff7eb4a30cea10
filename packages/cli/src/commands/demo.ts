/** The `demo` command. */
import {BaseCommand} from './base_command.js';

const violationExitCode = 1;

/**
 * Runs both example deployments under injected faults. Exits with 1 when a
 * guarantee was violated.
 */
export class Demo extends BaseCommand {
  static override summary =
    'Run both example deployments on stand-ins with faults and check the guarantees';
  static override enableJsonFlag = false;

  async run(): Promise<void> {
    // Loaded on demand, because the other commands start faster without it.
    const {runDemo} = await import('../demo/demo.js');
    const {isClean} = await runDemo((line) => this.log(line));
    this.exit(isClean ? 0 : violationExitCode);
  }
}

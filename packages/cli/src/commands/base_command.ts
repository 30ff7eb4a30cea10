/** What the commands share: JSON output, errors and exit codes. */
import {MarigoldpostError} from '@marigoldpost/common';
import {Command, Flags} from '@oclif/core';
import {OperationsClient} from '../client/operations_client.js';
import {getExitCode} from '../utils/exit_codes.js';

/** A command. */
export abstract class BaseCommand extends Command {
  static override enableJsonFlag = true;

  protected override async catch(
    error: Error & {exitCode?: number},
  ): Promise<unknown> {
    if (!(error instanceof MarigoldpostError)) return super.catch(error);
    const {kind, message, outcome} = error;
    if (this.jsonEnabled()) this.logJson({error: {kind, message, outcome}});
    else this.logToStderr(`${kind}: ${message}`);
    process.exitCode = getExitCode(kind).code;
    return undefined;
  }
}

/** A command that asks a daemon as an operator. */
export abstract class OperatorCommand extends BaseCommand {
  static override baseFlags = {
    daemon: Flags.string({
      description: 'Address of a daemon, http://<ip>:<port>',
      env: 'MARIGOLDPOST_DAEMON',
      required: true,
    }),
  };

  /**
   * Gets the client; the key comes from the environment only, since arguments
   * show in lists of processes.
   * @param address - Address of a daemon.
   */
  protected getClient(address: string): OperationsClient {
    if (!URL.canParse(address)) {
      const message = `--daemon: expected http://<ip>:<port>, found "${address}"`;
      throw MarigoldpostError.create('invalid_request', message);
    }
    const key = process.env['MARIGOLDPOST_OPERATOR_KEY'];
    if (key === undefined || key === '') {
      const message = "MARIGOLDPOST_OPERATOR_KEY must hold the operator's key";
      throw MarigoldpostError.create('unauthenticated', message);
    }
    return OperationsClient.create({address, key});
  }
}

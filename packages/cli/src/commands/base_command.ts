/** Base classes of the commands: JSON output, errors and exit codes. */
import {MarigoldpostError} from '@marigoldpost/common';
import {Command, Flags} from '@oclif/core';
import {OperationsClient} from '../client/operations_client.js';
import {getExitCode} from '../utils/exit_codes.js';

/**
 * Command that prints JSON with `--json` and maps the kind of an error to an
 * exit code.
 */
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

/** Command that calls the operations API of a daemon with an operator's key. */
export abstract class OperatorCommand extends BaseCommand {
  static override baseFlags = {
    daemon: Flags.string({
      description: 'Address of a daemon, http://<ip>:<port>',
      env: 'MARIGOLDPOST_DAEMON',
      required: true,
    }),
  };

  /**
   * Creates the client of a daemon. The key comes only from the environment,
   * because process lists show arguments. Throws `invalid_request` for a
   * malformed address and `unauthenticated` without a key.
   * @param address - Address of the daemon, `http://<ip>:<port>`.
   */
  protected getClient(address: string): OperationsClient {
    if (!URL.canParse(address)) {
      const message = `--daemon: expected http://<ip>:<port>, found "${address}"`;
      throw MarigoldpostError.create('invalid_request', message);
    }
    const key = process.env['MARIGOLDPOST_OPERATOR_KEY'];
    if (key === undefined || key === '') {
      const message =
        "environment variable MARIGOLDPOST_OPERATOR_KEY must be set to the operator's key";
      throw MarigoldpostError.create('unauthenticated', message);
    }
    return OperationsClient.create({address, key});
  }
}

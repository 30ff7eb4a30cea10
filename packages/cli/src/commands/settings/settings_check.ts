/** The `settings check` command. */
import {Args} from '@oclif/core';
import {readDaemonText, renderTextProblem} from '@marigoldpost/settings';
import type {CheckResult} from '../../output/check_result.js';
import {exitCodes} from '../../utils/exit_codes.js';
import {readText} from '../../utils/read_text.js';
import {BaseCommand} from '../base_command.js';

/** Validates a file with daemon settings; asks no daemon. */
export class SettingsCheck extends BaseCommand {
  static override summary = 'Validate a file with daemon settings';
  static override args = {
    file: Args.string({
      description: 'Path of the settings file',
      required: true,
    }),
  };

  async run(): Promise<CheckResult> {
    const {args} = await this.parse(SettingsCheck);
    const {problems} = readDaemonText(await readText(args.file));
    for (const problem of problems) {
      this.log(`${args.file}: ${renderTextProblem(problem)}`);
    }
    if (problems.length > 0) process.exitCode = exitCodes.invalid.code;
    else this.log(`${args.file} is valid`);
    return {file: args.file, problems};
  }
}

/** The `config check` command. */
import {Args} from '@oclif/core';
import {readOperatorsText, renderTextProblem} from '@marigoldpost/settings';
import type {CheckResult} from '../../output/check_result.js';
import {exitCodes} from '../../utils/exit_codes.js';
import {readText} from '../../utils/read_text.js';
import {BaseCommand} from '../base_command.js';

/** Validates a file with operators' configuration; asks no daemon. */
export class ConfigCheck extends BaseCommand {
  static override summary = "Validate a file with operators' configuration";
  static override args = {
    file: Args.string({
      description: 'Path of the configuration file',
      required: true,
    }),
  };

  async run(): Promise<CheckResult> {
    const {args} = await this.parse(ConfigCheck);
    const {problems} = readOperatorsText(await readText(args.file));
    for (const problem of problems) {
      this.log(`${args.file}: ${renderTextProblem(problem)}`);
    }
    if (problems.length > 0) process.exitCode = exitCodes.invalid.code;
    else this.log(`${args.file} is valid`);
    return {file: args.file, problems};
  }
}

/** `bench compare`. */
import type {ComparisonRow} from '@marigoldpost/bench';
import {Args} from '@oclif/core';
import {renderComparison} from '../../output/render_experiment.js';
import {readExperiment} from '../../utils/experiment_file.js';
import {BaseCommand} from '../base_command.js';

/** Shows means and intervals over seeds. */
export class BenchCompare extends BaseCommand {
  static override summary = 'Show means and 95% intervals over seeds';
  static override args = {
    file: Args.string({
      description: 'File that bench run --output wrote',
      required: true,
    }),
  };

  async run(): Promise<readonly ComparisonRow[]> {
    const {args} = await this.parse(BenchCompare);
    const {compareExperiments} = await import('@marigoldpost/bench');
    const rows = compareExperiments(await readExperiment(args.file));
    this.log(renderComparison(rows));
    return rows;
  }
}

/** The `bench compare` command. */
import type {ComparisonRow} from '@marigoldpost/bench';
import {Args} from '@oclif/core';
import {renderComparison} from '../../output/render_experiment.js';
import {readExperiment} from '../../utils/experiment_file.js';
import {BaseCommand} from '../base_command.js';

/** Prints the mean over seeds with its 95% confidence interval. */
export class BenchCompare extends BaseCommand {
  static override summary =
    'Show means over seeds with 95% confidence intervals';
  static override args = {
    file: Args.string({
      description: 'File written by bench run --output',
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

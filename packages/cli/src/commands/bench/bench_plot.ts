/** The `bench plot` command. */
import {writeFile} from 'node:fs/promises';
import type {PlotKind} from '@marigoldpost/bench';
import {Args, Flags} from '@oclif/core';
import {readExperiment} from '../../utils/experiment_file.js';
import {BaseCommand} from '../base_command.js';

/** Kind of the plot and path of the SVG file written. */
export interface PlotResult {
  readonly kind: PlotKind;
  readonly output: string;
}

/** Plots the runs of an experiment as an SVG file. */
export class BenchPlot extends BaseCommand {
  static override summary = 'Plot runs as SVG';
  static override args = {
    file: Args.string({
      description: 'File written by bench run --output',
      required: true,
    }),
  };
  static override flags = {
    kind: Flags.option({
      description:
        'load: latency over load; frontier: latency over wasted cache by cache weight',
      options: ['load', 'frontier'] as const,
      default: 'load' as const,
    })(),
    output: Flags.string({
      description: 'Path of the SVG file',
      required: true,
    }),
  };

  async run(): Promise<PlotResult> {
    const {args, flags} = await this.parse(BenchPlot);
    const {plotExperiment} = await import('@marigoldpost/bench');
    const {kind, output} = flags;
    const result = await readExperiment(args.file);
    await writeFile(output, await plotExperiment(result, kind));
    this.log(`wrote ${output}`);
    return {kind, output};
  }
}

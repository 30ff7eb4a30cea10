/** `bench plot`. */
import {writeFile} from 'node:fs/promises';
import type {PlotKind} from '@marigoldpost/bench';
import {Args, Flags} from '@oclif/core';
import {readExperiment} from '../../utils/experiment_file.js';
import {BaseCommand} from '../base_command.js';

/** What was plotted. */
export interface PlotResult {
  readonly kind: PlotKind;
  readonly output: string;
}

/** Draws the runs as SVG. */
export class BenchPlot extends BaseCommand {
  static override summary = 'Draw runs as SVG';
  static override args = {
    file: Args.string({
      description: 'File that bench run --output wrote',
      required: true,
    }),
  };
  static override flags = {
    kind: Flags.option({
      description: 'Latency over load, or over wasted cache by weight',
      options: ['load', 'frontier'] as const,
      default: 'load' as const,
    })(),
    output: Flags.string({
      description: 'Path of the SVG',
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

/** The `bench capacity` command. */
import type {CapacityFigures} from '@marigoldpost/bench';
import {BaseCommand} from '../base_command.js';

/** Measures the figures from which docs/CAPACITY.md is calculated. */
export class BenchCapacity extends BaseCommand {
  static override summary = 'Measure the slopes of docs/CAPACITY.md';

  async run(): Promise<CapacityFigures> {
    const {measureCapacity, pageSizes, renderCapacity} =
      await import('@marigoldpost/bench');
    const figures = await measureCapacity(pageSizes);
    this.log(renderCapacity(figures));
    return figures;
  }
}

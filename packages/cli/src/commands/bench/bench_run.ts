/** The `bench run` command. */
import {writeFile} from 'node:fs/promises';
import type {ExperimentResult} from '@marigoldpost/bench';
import {MarigoldpostError} from '@marigoldpost/common';
import {Flags} from '@oclif/core';
import {renderRuns} from '../../output/render_experiment.js';
import {BaseCommand} from '../base_command.js';

const loadPattern = /^\d+(\.\d+)?$/;

/** Simulates each policy with each workload, load and seed. */
export class BenchRun extends BaseCommand {
  static override summary = 'Run policies over workloads, loads and seeds';
  static override flags = {
    workload: Flags.string({
      description: 'Workload; all by default',
      multiple: true,
    }),
    policy: Flags.string({
      description: 'Policy; all by default',
      multiple: true,
    }),
    load: Flags.string({
      description:
        'Offered load as a fraction of engine capacity; 0.8 by default',
      multiple: true,
    }),
    seeds: Flags.integer({
      description: 'Number of seeds, counted from 1',
      default: 3,
      min: 1,
    }),
    'duration-ms': Flags.integer({
      description: 'Time in which programs arrive in a run, in milliseconds',
      min: 1000,
    }),
    output: Flags.string({
      description: 'Path to write the runs to as JSON, for compare and plot',
    }),
    csv: Flags.string({description: 'Path to write the runs to as CSV'}),
  };

  async run(): Promise<ExperimentResult> {
    const {flags} = await this.parse(BenchRun);
    const {runExperiment, toCsv} = await import('@marigoldpost/bench');
    const result = runExperiment({
      workloads: flags.workload,
      policies: flags.policy,
      loads: flags.load?.map(parseLoad),
      seeds: flags.seeds,
      durationMs: flags['duration-ms'],
    });
    this.log(renderRuns(result.rows));
    const {output, csv} = flags;
    if (output !== undefined) await writeFile(output, JSON.stringify(result));
    if (csv !== undefined) await writeFile(csv, toCsv(result));
    return result;
  }
}

function parseLoad(text: string): number {
  const load = Number(text);
  if (loadPattern.test(text) && load > 0) return load;
  const message = `--load: expected a number above 0, found "${text}"`;
  throw MarigoldpostError.create('invalid_request', message);
}

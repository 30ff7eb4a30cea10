/** Creates the source of an entry VM's trials of quarantined requests. */
import type {NodeOptions} from '../node_options.js';
import type {BackgroundTasks} from '../utils/background_tasks.js';
import {ObjectTrialSource} from './object_trial_source.js';

/**
 * Creates the source of an entry VM's trials.
 * @param options - Settings and dependencies of the daemon.
 * @param tasks - Logs the failures of calls to the object API.
 */
export function createTrialSource(
  {clock, random, platform, settings}: NodeOptions,
  tasks: BackgroundTasks,
): ObjectTrialSource {
  return ObjectTrialSource.create({
    store: platform.store,
    daemon: settings.daemon,
    clock,
    random,
    onFailed: (error) => tasks.logFailure('trials', error),
  });
}

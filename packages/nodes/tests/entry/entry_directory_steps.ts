/** Steps for the directory of entry VMs. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {type DaemonId, type DataCentreId, toId} from '@marigoldpost/common';
import {
  EntryDirectory,
  type EntryMember,
  entryPrefix,
} from '@marigoldpost/nodes';
import type {StoredObject} from '@marigoldpost/platform';

interface EntryDirectoryWorld extends World {
  entryDirectory: EntryDirectory;
  ignoredEntries: string[];
}

const depth = 100_000;

const malformedTexts: Record<string, string> = {
  'no JSON text': '{"daemon":',
  null: 'null',
  '100000 nested arrays': '['.repeat(depth) + ']'.repeat(depth),
  'no relay address': toText({relayAddress: undefined}),
  'a relay address at port 99999': toText({
    relayAddress: 'http://10.0.0.1:99999',
  }),
  'a relay address of words': toText({relayAddress: 'nowhere'}),
  'an address at port 0': toText({address: 'http://10.0.0.1:0'}),
  'an address at host ...': toText({address: 'http://...:7380'}),
  'the name of the own one': toText({daemon: 'own'}),
};

Given(
  'an entry VM {string} that has listed the entry VMs {string}',
  function (this: EntryDirectoryWorld, own: string, names: string) {
    this.ignoredEntries = [];
    this.entryDirectory = EntryDirectory.create({
      own: createMember(own),
      onOwnRemoved: () => undefined,
      onIgnored: ({key}) => this.ignoredEntries.push(key),
    });
    const objects = names.split(', ').map((name) => toObject(name, null));
    this.entryDirectory.replaceObjects(objects);
  },
);

When(
  /^the registration of entry VM "(\w+)" becomes (?:sound again|one with (.+))$/,
  function (this: EntryDirectoryWorld, name: string, content: string | null) {
    const object = toObject(name, content);
    this.entryDirectory.applyChange({key: object.key, object, version: 2});
  },
);

Then(
  'the listed entry VMs are {string}',
  function (this: EntryDirectoryWorld, names: string) {
    const members = this.entryDirectory.getMembers();
    const listed = members.map(({daemon}) => String(daemon)).toSorted();
    assert.deepEqual(listed, names.split(', '));
    const own = members.find(({daemon}) => daemon === 'own');
    assert.deepEqual(own, createMember('own'));
  },
);

Then(
  'it has reported the entry VM {string} {int} times',
  function (this: EntryDirectoryWorld, name: string, count: number) {
    const key = `${entryPrefix}${name}`;
    const expected = Array.from({length: count}, () => key);
    assert.deepEqual(this.ignoredEntries, expected);
  },
);

function toObject(name: string, content: string | null): StoredObject {
  const sound = JSON.stringify(createMember(name));
  const value = content === null ? sound : malformedTexts[content];
  assert.ok(value !== undefined, `unknown content "${content}"`);
  return {key: `${entryPrefix}${name}`, value, version: 1};
}

function createMember(name: string): EntryMember {
  return {
    daemon: toId<DaemonId>(name),
    address: 'http://10.0.0.1:7380',
    relayAddress: 'http://10.0.0.1:7381',
    dataCentre: toId<DataCentreId>('north'),
  };
}

function toText(fields: object): string {
  return JSON.stringify({...createMember('a'), ...fields});
}

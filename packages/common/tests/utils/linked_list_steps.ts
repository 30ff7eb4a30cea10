/** Steps for the linked list. */
import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {LinkedList, type ListNode} from '@marigoldpost/common';
import fc from 'fast-check';

const propertySeed = 20261206;

Then(
  'for any additions and removals the linked list matches an array',
  function () {
    const removals = fc.array(fc.option(fc.nat(20)));
    const property = fc.property(removals, (steps) => {
      const list = LinkedList.create<ListNode>();
      const model: ListNode[] = [];
      for (const step of steps) {
        const node = step === null ? undefined : model[step];
        if (node === undefined) {
          const added = {previous: undefined, next: undefined};
          list.add(added);
          model.push(added);
        } else {
          list.remove(node);
          model.splice(model.indexOf(node), 1);
        }
        assert.equal(list.first, model[0]);
        assert.equal(list.size, model.length);
      }
    });
    fc.assert(property, {seed: propertySeed});
  },
);

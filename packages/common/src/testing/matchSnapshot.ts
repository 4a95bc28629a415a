import { dirname, basename, join } from 'node:path'
import { SnapshotState, toMatchSnapshot } from 'jest-snapshot'

/** The part of a mocha context that identifies the running test. */
export interface TestContext {
  readonly test?: { readonly file?: string | undefined, readonly fullTitle: () => string } | undefined
}

/**
 * Compares a value with the snapshot stored next to the test file; at most once per test. `UPDATE_SNAPSHOTS=1` rewrites the snapshot.
 *
 * @param context - `this` of the running mocha test.
 * @param value - Value to compare.
 */
export const expectSnapshot = (context: TestContext, value: unknown): void => {
  const file = context.test?.file
  const title = context.test?.fullTitle() ?? ''
  if (file === undefined) throw new Error('expectSnapshot needs the context of a running test')
  const updateMode = process.env.UPDATE_SNAPSHOTS === '1' ? 'all' : process.env.CI === 'true' ? 'none' : 'new'
  const state = new SnapshotState(join(dirname(file), '__snapshots__', `${basename(file)}.snap`), {
    updateSnapshot: updateMode,
    expand: false,
    rootDir: dirname(file),
    snapshotFormat: { escapeString: false, printBasicPrototype: false },
    prettierPath: null
  })
  const matcher = toMatchSnapshot.call({ snapshotState: state, currentTestName: title, isNot: false, promise: '', equals: Object.is, utils: {}, dontThrow: () => {} } as never, value as never)
  const result = matcher as { readonly pass: boolean, readonly message: () => string }
  state.save()
  if (!result.pass) throw new Error(result.message())
}

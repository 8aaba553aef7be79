import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['target/', 'node_modules/', 'packages/testkit/fixtures/'] },
  ...tseslint.configs.strict,
  {
    rules: {
      eqeqeq: 'error',
      'no-useless-rename': 'error',
      'object-shorthand': 'error',
      '@typescript-eslint/no-shadow': 'error',
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/restrict-template-expressions': 'off',
    },
  },
);

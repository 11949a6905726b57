"""Records and estimators of the policy; nothing here decides."""

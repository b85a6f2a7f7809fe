#ifndef BERYLVANE_COMMON_REVISION_H
#define BERYLVANE_COMMON_REVISION_H

/*
 * revision - the commit that the program was built from, with "+" behind it if
 * the sources were changed since; the version where no repository is known
 */
extern const char bv_revision[];

#endif
